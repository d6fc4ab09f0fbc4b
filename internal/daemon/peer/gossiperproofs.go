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

// proofLoop asks other daemons for proofs of the catalogue as the plan decides, until c
// ends.
func (s *Gossiper) proofLoop(c context.Context) error {
	p := s.proofs.Plan()
	if !p.Enabled() {
		return nil
	}
	v := s.self()
	a := configservice.NewProofSources(v.Instance, v.DataCentre)
	w := false // whether the catalogue was too old
	for lavenderridge.Sleep(c, p.AskInterval(rand.Float64())) == nil {
		s.askForProof(c, a)
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

// askForProof exchanges versions with the next of the sources a, unless the proofs are
// fresh. A source whose reply shows no fresh proof is not asked again at once.
func (s *Gossiper) askForProof(c context.Context, a *configservice.ProofSources) {
	p, l := s.proofs.Plan(), s.store.InstanceList()
	if l == nil || !p.Asks(s.proofs.Age(), a.Update(l, s.store.Catalogue())) {
		return
	}
	n := s.neighbourhood.Instance(a.Next())
	if n == nil {
		a.Skip()
		return
	}
	if _, e := s.exchangeWith(c, n, CounterProof); e != nil || !p.Improves(s.proofs.Age()) {
		a.Skip()
	}
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
