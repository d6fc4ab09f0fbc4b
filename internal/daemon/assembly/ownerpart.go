package assembly

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
	backendpolicy "github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/transport/backendhttp"
)

// ownerPart admits work to the daemon's own backend server.
type ownerPart struct {
	gate     *backendpolicy.SlotGate
	handler  lavenderridge.Handler
	suspects lavenderridge.SuspectStore
}

func newOwnerPart(c context.Context, d *Daemon) (*ownerPart, error) {
	b, e := backendhttp.NewClient(c, d.config.Backend, d.config.Connections, d.config.MaxBody)
	if e != nil {
		return nil, e
	}
	d.closeLater(b.Close)
	g := backendpolicy.NewSlotGate()
	h := backendserver.NewOwnerHandler(d.configuration.store, g, d.sender, b)
	return &ownerPart{gate: g, handler: h, suspects: discard{}}, nil
}

func (p *ownerPart) load() lavenderridge.Load {
	return lavenderridge.Load{InFlight: p.gate.InFlight()}
}

// leaving reports whether the daemon takes no new work because it stops.
func (p *ownerPart) leaving() bool {
	return false
}
