package assembly

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
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
	StopTimeout   time.Duration
	// PlainRouting takes targets in turn without retries, as the baseline of
	// measurements.
	PlainRouting bool
}
