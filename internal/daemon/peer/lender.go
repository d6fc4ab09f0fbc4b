package peer

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

// listInterval is how often a lender looks at the instance list in force.
const listInterval = time.Second

// A Lender lends out of the quotas of the customers whose home this daemon is.
type Lender struct {
	ledger    *peer.LoanLedger
	snapshots lavenderridge.SnapshotSource
	readiness lavenderridge.Readiness
	sourceAge func(t time.Time) time.Duration
	clock     lavenderridge.Clock
	lent      metrics.Counter
	refused   metrics.Counter
}

var _ LoanServer = (*Lender)(nil)

// NewLender returns a lender for the ledger l. It lends nothing while r reports that the
// daemon is not ready, as after a pause of its process, and when the newest word of the
// source, whose age g returns, is old.
func NewLender(l *peer.LoanLedger, s lavenderridge.SnapshotSource, r lavenderridge.Readiness, g func(t time.Time) time.Duration, k lavenderridge.Clock, m metrics.Registry) *Lender {
	metrics.NewRegisteredFunctionalGauge("QuotaHomes", m, func() int64 { return int64(l.Customers()) })
	return &Lender{
		ledger: l, snapshots: s, readiness: r, sourceAge: g, clock: k,
		lent:    metrics.GetOrRegisterCounter("QuotaRequestsLent", m),
		refused: metrics.GetOrRegisterCounter("QuotaLoansRefused", m),
	}
}

// Run follows the instance list until c ends, while the catalogue has customers.
func (l *Lender) Run(c context.Context) error {
	k := time.NewTicker(listInterval)
	defer k.Stop()
	for {
		if s := l.snapshots.Snapshot(); s != nil && len(s.Catalogue.Customers) > 0 {
			l.ledger.Observe(s.List, l.clock.Now())
		}
		select {
		case <-c.Done():
			return nil
		case <-k.C:
		}
	}
}

// Borrow implements LoanServer.
func (l *Lender) Borrow(_ context.Context, q *lavenderridge.LoanRequest) (*lavenderridge.Loan, error) {
	t := l.clock.Now()
	if e := l.readiness.Ready(t); e != nil {
		return nil, e
	}
	p := l.ledger.Lend(l.snapshots.Snapshot(), q, l.sourceAge(t), t)
	for _, g := range p.Grants {
		l.lent.Inc(int64(g.Requests))
		if g.Refused {
			l.refused.Inc(1)
		}
	}
	return p, nil
}
