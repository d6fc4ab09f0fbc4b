package assembly

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderridge/lavenderridge/internal/daemon/caller"
	"github.com/lavenderridge/lavenderridge/internal/daemon/peer"
	peerpolicy "github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

// quotaPart lends out of the quotas of customers and borrows for this daemon's callers.
type quotaPart struct {
	lender   *peer.Lender
	borrower *caller.Borrower
}

func newQuotaPart(d *Daemon) *quotaPart {
	b := d.config.Quota
	if b.Window == 0 {
		b = peerpolicy.DefaultQuotaBounds()
	}
	f := d.configuration
	l := peer.NewLender(peerpolicy.NewLoanLedger(d.config.Instance, b), f.store, f, f.contact.Age, d.clock, d.metrics)
	return &quotaPart{
		lender:   l,
		borrower: caller.NewBorrower(d.config.Instance, b, d.clock, d.peers(), l.Borrow, d.recorder, d.metrics),
	}
}

func (p *quotaPart) run(c context.Context) error {
	g, c := errgroup.WithContext(c)
	g.Go(func() error { return p.lender.Run(c) })
	g.Go(func() error { return p.borrower.Run(c) })
	return g.Wait()
}
