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

// handOverTimeout bounds the hand-over of the ledger during a planned shutdown.
const handOverTimeout = 2 * time.Second

// homePart runs keyed requests, those that have an idempotency key and are not
// idempotent, at most once. On a platform, whose callers send no keys, it consists
// only of the owner's handler, so that homes need no messages, memory or waiting.
type homePart struct {
	router     lavenderridge.Router
	homeServer peer.HomeServer
	// handler is the LedgerHandler around the owner's handler or, without keys, the
	// owner's handler itself.
	handler lavenderridge.Handler
	// homes and ledger are nil on a platform.
	homes  *peer.HomeManager
	ledger *backendserver.LedgerHandler
}

func newHomePart(d *Daemon) *homePart {
	p := &homePart{router: peerpolicy.NewHomeRouter(), homeServer: peer.DisabledHomeServer{}, handler: d.owner.handler}
	if d.adapter != nil {
		return p
	}
	l := backendpolicy.NewLedger(backendpolicy.DefaultLedgerLimits())
	p.homes = peer.NewHomeManager(d.config.Service, d.configuration.store, d.clock, d.peers(), d.sender, d.recorder, l)
	p.ledger = backendserver.NewLedgerHandler(l, p.homes, d.config.Service, d.clock, d.sender, d.recorder, d.owner.handler)
	p.homeServer, p.handler = p.homes, p.ledger
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

// stop waits until no keyed request runs, and hands the ledger records over
// to the next homes. The peer server must still run.
func (p *homePart) stop(c context.Context, d time.Duration) {
	if p.homes == nil {
		return
	}
	c, f := context.WithTimeout(context.WithoutCancel(c), d)
	defer f()
	p.ledger.Drain(c)
	c, f = context.WithTimeout(context.WithoutCancel(c), handOverTimeout)
	defer f()
	p.homes.HandOverAll(c)
}
