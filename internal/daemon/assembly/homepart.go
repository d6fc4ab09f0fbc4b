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

// homePart runs keyed requests at most once. Without keys, as on a platform
// whose callers send none, it is only the owner's handler: no home costs a
// message, memory or a wait.
type homePart struct {
	router lavenderridge.Router
	keeper peer.HomeServer
	// handler wraps the owner's handler.
	handler lavenderridge.Handler
	// homes and ledger are nil without keys.
	homes  *peer.HomeManager
	ledger *backendserver.LedgerHandler
}

func newHomePart(d *Daemon) *homePart {
	p := &homePart{router: peerpolicy.NewHomeRouter(), keeper: peer.DisabledHomeServer{}, handler: d.owner.handler}
	if d.adapter != nil {
		return p
	}
	l := backendpolicy.NewLedger(backendpolicy.DefaultLedgerLimits())
	p.homes = peer.NewHomeManager(d.config.Service, d.configuration.store, d.clock, d.peers(), d.sender, d.recorder, l)
	p.ledger = backendserver.NewLedgerHandler(l, p.homes, d.config.Service, d.clock, d.sender, d.recorder, d.owner.handler)
	p.keeper, p.handler = p.homes, p.ledger
	return p
}

func (p *homePart) run(c context.Context) error {
	if p.homes == nil {
		return nil
	}
	return p.homes.Run(c)
}

func (p *homePart) status() lavenderridge.HomeStatus {
	if p.homes == nil {
		return lavenderridge.HomeStatus{}
	}
	return p.homes.Status()
}

// stop waits for keyed runs and gives the ledger to the next homes. The peer
// server must still answer.
func (p *homePart) stop(c context.Context, d time.Duration) {
	if p.homes == nil {
		return
	}
	c, f := context.WithTimeout(context.WithoutCancel(c), d)
	defer f()
	p.ledger.Wait(c)
	c, f = context.WithTimeout(context.WithoutCancel(c), maxHandOver)
	defer f()
	p.homes.HandOverAll(c)
}
