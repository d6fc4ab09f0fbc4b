package assembly

import (
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge/internal/transport/peerquic"
)

// PeerCounters returns what the daemon's connections to other daemons carried.
func (d *Daemon) PeerCounters() *peerquic.Counters {
	return d.transport.Counters()
}

// Metrics returns the daemon's metrics.
func (d *Daemon) Metrics() metrics.Registry {
	return d.metrics
}
