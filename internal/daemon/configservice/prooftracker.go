package configservice

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// A ProofTracker holds the proofs of the catalogue that the source and other daemons gave.
// A nil tracker is that of a daemon that needs no proofs: it holds none.
type ProofTracker struct {
	plan     configservice.RevocationPlan
	proofs   *configservice.CatalogueProofs
	accepted lavenderridge.SnapshotSource
	clock    lavenderridge.SteadyClock
	started  time.Duration
}

var _ lavenderridge.Freshness = (*ProofTracker)(nil)

// NewProofTracker returns a tracker for the plan p, of the catalogues in s.
func NewProofTracker(p configservice.RevocationPlan, s lavenderridge.SnapshotSource, k lavenderridge.SteadyClock) *ProofTracker {
	return &ProofTracker{plan: p, proofs: configservice.NewCatalogueProofs(), accepted: s, clock: k, started: k.Elapsed()}
}

// Plan returns the plan of the tracker.
func (p *ProofTracker) Plan() configservice.RevocationPlan {
	if p == nil {
		return configservice.RevocationPlan{}
	}
	return p.plan
}

// BeginCall returns the time from which the age of a proof counts that a call brings. It
// must be read before the call begins: what the answer reports may be as old as that, and
// the answer may arrive late.
func (p *ProofTracker) BeginCall() time.Duration {
	if p == nil {
		return 0
	}
	return p.clock.Elapsed()
}

// SourceResponded records that a linearizable response of the source showed no catalogue
// later than v. The call began at the time b. A source that lacks the accepted version has
// lost it, or responds late; that proves nothing.
func (p *ProofTracker) SourceResponded(v lavenderridge.Version, b time.Duration) {
	if p != nil && v >= p.version() {
		p.proofs.Add(v, b)
	}
}

// PeerReplied records the proof q in the reply of another daemon to a call that began at
// the time b.
func (p *ProofTracker) PeerReplied(q lavenderridge.CatalogueProof, b time.Duration) {
	if p != nil {
		p.proofs.Add(q.Version, b-max(q.Age, 0))
	}
}

// CatalogueAge implements lavenderridge.Freshness.
func (p *ProofTracker) CatalogueAge(v lavenderridge.Version) (time.Duration, bool) {
	t := p.clock.Elapsed()
	return p.proofs.Age(v, t)
}

// Age returns the age of the accepted catalogue, or the time since the tracker was made if
// there is no proof of it.
func (p *ProofTracker) Age() time.Duration {
	if p == nil {
		return 0
	}
	t := p.clock.Elapsed()
	if a, o := p.proofs.Age(p.version(), t); o {
		return a
	}
	return t - p.started
}

// Proof returns the latest proof of the accepted catalogue.
func (p *ProofTracker) Proof() lavenderridge.CatalogueProof {
	if p == nil {
		return lavenderridge.CatalogueProof{}
	}
	// A proof that is added later than the version is read may count for a later version
	// and is left out by that.
	return p.proofs.Proof(p.version(), p.clock.Elapsed())
}

func (p *ProofTracker) version() lavenderridge.Version {
	if s := p.accepted.Snapshot(); s != nil {
		return s.Versions().Catalogue
	}
	return 0
}
