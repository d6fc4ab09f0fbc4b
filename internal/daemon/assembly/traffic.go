package assembly

import (
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge/internal/transport/peerhttp"
)

// PeerTraffic returns the counts of messages and bytes on the daemon's connections
// to other daemons.
func (d *Daemon) PeerTraffic() *peerhttp.Traffic {
	return d.transport.Traffic()
}

// Metrics returns the daemon's metrics.
func (d *Daemon) Metrics() metrics.Registry {
	return d.metrics
}
