package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
	daemonconfig "github.com/lavenderridge/lavenderridge/internal/daemon/configservice"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// WithProofs makes a gossiper pass on proofs of the catalogue and ask other daemons for
// them, so that t stays fresh.
func WithProofs(t *daemonconfig.ProofTracker) func(*Gossiper) {
	return func(s *Gossiper) { s.proofs = t }
}

// askLoop asks other daemons who follows the source, and for proofs of the catalogue, as
// the plans decide, until c ends.
func (s *Gossiper) askLoop(c context.Context) error {
	p, v := s.proofs.Plan(), s.self()
	a := configservice.NewAskSources(v.Instance, v.DataCentre)
	w := false // whether the catalogue was too old
	for lavenderridge.Sleep(c, s.askDelay()) == nil {
		s.ask(c, a)
		if !p.Enabled() {
			continue
		}
		if o := s.proofs.Age() >= p.MaxAge(); o != w {
			w = o
			s.logStale(o)
		}
	}
	return nil
}

// recordProof records the proof in the reply q to a call that began at the time u. A daemon
// that has other content of the accepted version proves nothing about this one's.
func (s *Gossiper) recordProof(q *lavenderridge.Exchange, u time.Duration) {
	if s.proofs == nil || q.Proof.Version == 0 {
		return
	}
	if a, b := q.Sender.Stamps.Catalogue, s.store.Stamps().Catalogue; a.Version == b.Version && a.Digest != b.Digest {
		return
	}
	s.proofs.PeerReplied(q.Proof, u)
}

// ask exchanges versions with the next of the sources a, unless what is known of the
// source is fresh. A source whose reply isn't is not asked again at once.
func (s *Gossiper) ask(c context.Context, a *configservice.AskSources) {
	p, l := s.proofs.Plan(), s.store.InstanceList()
	if l == nil {
		return
	}
	i := a.Update(l, s.store.Catalogue())
	f, k := s.apply.Asks(s.followAge(), i), p.Enabled() && p.Asks(s.proofs.Age(), i)
	if !f && !k {
		return
	}
	n := s.neighbourhood.Instance(a.Next())
	if n == nil {
		a.Skip()
		return
	}
	m := CounterProof
	if f {
		m = CounterFollowing
	}
	x, g := context.WithTimeout(c, s.apply.AskTimeout())
	defer g()
	_, e := s.exchangeWith(x, n, m)
	if e != nil || f && !s.apply.Improves(s.followAge()) || k && !p.Improves(s.proofs.Age()) {
		a.Skip()
	}
}

// askDelay returns the time until the next decision whether to ask.
func (s *Gossiper) askDelay() time.Duration {
	d := s.apply.AskDelay(s.followAge(), rand.Float64())
	if p := s.proofs.Plan(); p.Enabled() {
		return min(d, p.AskInterval(rand.Float64()))
	}
	return d
}

// followAge returns the age of the latest word that another daemon follows the source.
func (s *Gossiper) followAge() time.Duration {
	h := s.sourceContact.HeardFollowing()
	if h.Before(s.started) {
		h = s.started
	}
	return s.clock.Now().Sub(h)
}

// logStale logs that the catalogue has become too old for requests with a key, or is no
// longer so.
func (s *Gossiper) logStale(o bool) {
	f := []zap.Field{zap.Duration("Age", s.proofs.Age()), zap.Duration("MaxAge", s.proofs.Plan().MaxAge()), zap.Uint64("Version", uint64(s.versions().Catalogue))}
	if o {
		s.log.Warn("CatalogueStale", f...)
		return
	}
	s.log.Info("CatalogueFresh", f...)
}
