package assembly

import (
	"fmt"
	"net"

	"github.com/lavenderridge/lavenderridge/internal/daemon/caller"
	callerpolicy "github.com/lavenderridge/lavenderridge/internal/policy/caller"
	"github.com/lavenderridge/lavenderridge/internal/transport/callerhttp"
)

// entryPart answers callers.
type entryPart struct {
	server *callerhttp.Server
}

func newEntryPart(d *Daemon) (*entryPart, error) {
	l, e := net.Listen("tcp", string(d.config.Caller))
	if e != nil {
		return nil, fmt.Errorf("assembly: caller address: %w", e)
	}
	d.closeLater(l.Close)
	f := caller.NewForwardHandler(callerpolicy.NewBalancedRouter(d.config.Instance, d.config.DataCentre, d.clock.Now()), d.home.router, d.clock, d.peers(), d.sender, d.home.handler)
	h := caller.NewEntryHandler(d.configuration.store, d.clock, f)
	return &entryPart{server: callerhttp.NewServer(l, h, d.config.MaxBody)}, nil
}
