package assembly

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// A Config holds the settings of a daemon.
type Config struct {
	Instance   lavenderridge.InstanceID
	DataCentre lavenderridge.DataCentreID
	// Service is the service of the backend server beside the daemon.
	Service       lavenderridge.ServiceID
	ConfigService lavenderridge.Address
	Backend       lavenderridge.Address
	// Connections bounds the connections to the backend server.
	Connections lavenderridge.Connections
	// Caller, Peer and Operator are the addresses at which the daemon accepts
	// requests from callers, other daemons and operators.
	Caller   lavenderridge.Address
	Peer     lavenderridge.Address
	Operator lavenderridge.Address
	// MaxBody bounds the bodies of requests and responses.
	MaxBody lavenderridge.ByteCount
	// StopTimeout bounds the wait for requests in flight during a planned
	// shutdown.
	StopTimeout time.Duration
	// Decisions bounds the number of recent decisions that are kept for each kind
	// of event; zero means the default.
	Decisions int
	// KeyFiles are reloaded at intervals of KeyReloadInterval; zero means never.
	KeyFiles          peertls.Files
	KeyReloadInterval time.Duration
	// PlainRouting selects round-robin routing without retries, as a baseline for
	// measurements.
	PlainRouting bool
	// Regions holds the data centres of a platform with their regions, which the
	// platform's facts do not contain.
	Regions map[lavenderridge.DataCentreID]lavenderridge.RegionID
	// Metrics is an additional address at which metrics are served; it may be
	// empty.
	Metrics lavenderridge.Address
	// StopDelay is how long the daemon still accepts requests after a shutdown has
	// begun, so that callers and other daemons learn of it first.
	StopDelay time.Duration
	// ColdFactor and ColdSlack set the rate limit of a cold backend server: its
	// listed rate times ColdFactor, plus ColdSlack requests a second.
	ColdFactor, ColdSlack float64
	// LinkRate is the rate of the machine's network link; zero means unknown.
	LinkRate lavenderridge.BitRate
	// Memory is the memory that the daemon may use; zero means unknown.
	Memory lavenderridge.ByteCount
	// BodyMemory bounds the memory of the bodies of requests and responses; zero means
	// no bound.
	BodyMemory lavenderridge.ByteCount
	// Descriptors is the number of descriptors that the daemon may have; zero means
	// unknown.
	Descriptors lavenderridge.Connections
	// CallerConnections, PeerConnections and OperatorConnections bound the connections of
	// clients at each address; zero means a share of Descriptors and Memory.
	// AddressConnections bounds those of callers from one IP address; zero means no bound.
	CallerConnections   lavenderridge.Connections
	PeerConnections     lavenderridge.Connections
	OperatorConnections lavenderridge.Connections
	AddressConnections  lavenderridge.Connections
	// HeadMemory bounds the memory of callers' heads beyond what a usual one takes, and
	// CallMemory that of the calls of other daemons; zero means a share of Memory.
	HeadMemory, CallMemory lavenderridge.ByteCount
	// HeaderFields bounds the fields in the header of a request; zero means no bound.
	HeaderFields int
	// SendPause is how long a caller may leave a piece of a response; zero means 30 s.
	SendPause time.Duration
	// RetryRatio and RetryExtra bound the retries of the whole fleet in any window
	// of time: the fraction RetryRatio of the requests, plus RetryExtra. If both
	// are zero, each daemon has a retry budget of its own.
	RetryRatio lavenderridge.Ratio
	RetryExtra int
	// Quota bounds by how much customers may exceed their quotas; zero means the default.
	Quota peer.QuotaBounds
	// FleetSize is the number of daemons that are assumed to start concurrently
	// while there is no instance list; zero means 500.
	FleetSize int
	// ApplyWithin is the time within which a change that the source has acknowledged is in
	// force everywhere; zero means 6 s.
	ApplyWithin time.Duration
	// RevokeWithin is the time from which on after the source has acknowledged that a
	// customer's key is taken away no new request with it runs, also on daemons without
	// contact. Zero means that only the spreading of versions bounds it.
	RevokeWithin time.Duration
}

// defaultFleetSize makes daemons spread their first reads of the source over one
// second.
const defaultFleetSize = 500

func (f *Config) fleetSize() int {
	if f.FleetSize > 0 {
		return f.FleetSize
	}
	return defaultFleetSize
}
