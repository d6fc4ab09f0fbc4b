package assembly

import (
	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/peer"
	peerpolicy "github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

// homePart runs keyed requests at most once.
type homePart struct {
	router lavenderridge.Router
	keeper peer.HomeKeeper
	// handler wraps the owner's handler.
	handler lavenderridge.Handler
}

func newHomePart(d *Daemon) *homePart {
	return &homePart{
		router:  peerpolicy.NewHomeRouter(),
		keeper:  peer.NewIdlePeer(d.sender),
		handler: d.owner.handler,
	}
}
