package assembly

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// A Config holds what a daemon is told of itself by its settings.
type Config struct {
	Instance      lavenderridge.InstanceID
	DataCentre    lavenderridge.DataCentreID
	Service       lavenderridge.ServiceID
	ConfigService lavenderridge.Address
	Backend       lavenderridge.Address
	Connections   lavenderridge.Connections
	Caller        lavenderridge.Address
	Peer          lavenderridge.Address
	Operator      lavenderridge.Address
	MaxBody       lavenderridge.ByteCount
	// StopTimeout bounds the wait for running requests at a planned stop.
	StopTimeout time.Duration
	// Decisions bounds the recent decisions that are kept of each event; zero
	// means the default.
	Decisions int
	// KeyFiles are read again at intervals of KeyReload; zero means never.
	KeyFiles  peertls.Files
	KeyReload time.Duration
	// PlainRouting takes targets in turn without retries, as the baseline of
	// measurements.
	PlainRouting bool
	// Regions holds the region of each data centre, where the catalogue does not
	// tell it.
	Regions map[lavenderridge.DataCentreID]lavenderridge.RegionID
	// Metrics is a further address for metrics; it may be empty.
	Metrics lavenderridge.Address
	// StopDelay is how long the daemon goes on answering callers after a stop
	// has begun, so that they hear of it.
	StopDelay time.Duration
	// ColdFactor and ColdSlack tell what a cold backend server is given in a
	// second: its rate times the factor, and the slack in requests.
	ColdFactor, ColdSlack float64
	// Link is the rate of the machine's link; zero means that it is not known.
	Link lavenderridge.BitRate
	// RetryRatio and RetryExtra bound the retries of the whole fleet in a
	// window: a part of the requests and a number beyond it. Zero for both
	// stands for a budget of each daemon's own.
	RetryRatio lavenderridge.Ratio
	RetryExtra int
	// FleetSize is the number of daemons that are assumed to start at once
	// while no instance list is known; zero means 500.
	FleetSize int
}

// defaultFleetSize spreads the first reads of a fleet over a second.
const defaultFleetSize = 500

func (f *Config) fleetSize() int {
	if f.FleetSize > 0 {
		return f.FleetSize
	}
	return defaultFleetSize
}
