package assembly

import (
	"context"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/daemon/peer"
	backendpolicy "github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
	peerpolicy "github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

// maxHandOver bounds the handing over of the ledger at a planned stop.
const maxHandOver = 2 * time.Second

// homePart runs keyed requests at most once.
type homePart struct {
	router lavenderridge.Router
	keeper peer.HomeKeeper
	// handler wraps the owner's handler.
	handler lavenderridge.Handler
	homes   *peer.Homes
	ledger  *backendserver.LedgerHandler
}

func newHomePart(d *Daemon) *homePart {
	l := backendpolicy.NewLedger(backendpolicy.DefaultLedgerLimits())
	h := peer.NewHomes(d.config.Service, d.configuration.store, d.clock, d.peers(), d.sender, d.recorder, l)
	n := backendserver.NewLedgerHandler(l, h, d.config.Service, d.clock, d.sender, d.recorder, d.owner.handler)
	return &homePart{router: peerpolicy.NewHomeRouter(), keeper: h, handler: n, homes: h, ledger: n}
}

func (p *homePart) run(c context.Context) error {
	return p.homes.Run(c)
}

// stop waits for keyed runs and gives the ledger to the next homes. The peer
// server must still answer.
func (p *homePart) stop(c context.Context, d time.Duration) {
	c, f := context.WithTimeout(context.WithoutCancel(c), d)
	defer f()
	p.ledger.Wait(c)
	c, f = context.WithTimeout(context.WithoutCancel(c), maxHandOver)
	defer f()
	p.homes.HandOverAll(c)
}
