package assembly

import (
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge/internal/transport/peerhttp"
)

// PeerTraffic returns what the daemon's connections to other daemons carried.
func (d *Daemon) PeerTraffic() *peerhttp.Traffic {
	return d.transport.Traffic()
}

// Metrics returns the daemon's metrics.
func (d *Daemon) Metrics() metrics.Registry {
	return d.metrics
}
