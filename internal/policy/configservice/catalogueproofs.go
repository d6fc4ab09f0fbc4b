package configservice

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// maxProofs bounds the proofs that are kept. Those of later versions than the accepted
// one wait until it has been pulled, while requests still use the earlier ones.
const maxProofs = 8

// catalogueProof states that the source had no catalogue later than version at the time
// at or after it.
type catalogueProof struct {
	version lavenderridge.Version
	at      time.Duration
}

// CatalogueProofs holds what is known of the times at which versions of the catalogue were
// the latest ones of the source. All times are those of a lavenderridge.SteadyClock. It is
// safe for concurrent use, and Age takes no lock.
type CatalogueProofs struct {
	// proofs are sorted by version. Those of later versions have later times.
	proofs atomic.Pointer[[]catalogueProof]
}

// NewCatalogueProofs returns proofs of no version.
func NewCatalogueProofs() *CatalogueProofs {
	p := &CatalogueProofs{}
	p.proofs.Store(&[]catalogueProof{})
	return p
}

// Add records that the source had no catalogue later than v at the time t or at some time
// after it.
func (p *CatalogueProofs) Add(v lavenderridge.Version, t time.Duration) {
	if v == 0 {
		return
	}
	for {
		o := p.proofs.Load()
		n := addProof(*o, catalogueProof{version: v, at: t})
		if n == nil || p.proofs.CompareAndSwap(o, &n) {
			return
		}
	}
}

// addProof returns the proofs a with n, or nil if n proves nothing more.
func addProof(a []catalogueProof, n catalogueProof) []catalogueProof {
	r := make([]catalogueProof, 0, len(a)+1)
	for _, v := range a {
		if v.version <= n.version && v.at >= n.at {
			return nil
		}
		if v.version < n.version || v.at > n.at {
			r = append(r, v)
		}
	}
	r = append(r, n)
	slices.SortFunc(r, func(x, y catalogueProof) int { return cmp.Compare(x.version, y.version) })
	return r[max(0, len(r)-maxProofs):]
}

// Age returns a bound on the time that has passed at the time t since the version v or an
// earlier one was the latest of the source. It reports false if none is known.
func (p *CatalogueProofs) Age(v lavenderridge.Version, t time.Duration) (time.Duration, bool) {
	n, o := p.latest(v)
	return max(t-n.at, 0), o
}

// Proof returns the latest proof of the version v or of an earlier one at the time t.
func (p *CatalogueProofs) Proof(v lavenderridge.Version, t time.Duration) lavenderridge.CatalogueProof {
	n, o := p.latest(v)
	if !o {
		return lavenderridge.CatalogueProof{}
	}
	return lavenderridge.CatalogueProof{Version: n.version, Age: max(t-n.at, 0)}
}

// latest returns the latest proof that counts for the version v.
func (p *CatalogueProofs) latest(v lavenderridge.Version) (catalogueProof, bool) {
	a := *p.proofs.Load()
	for i := len(a) - 1; i >= 0; i-- {
		if a[i].version <= v {
			return a[i], true
		}
	}
	return catalogueProof{}, false
}
