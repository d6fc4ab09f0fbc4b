package configservice_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/daemon/configservice"
	policy "github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/standin/factsource"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
	"github.com/lavenderridge/lavenderridge/internal/transport/confighttp"
)

// callClock advances by one second with each call to the source, half before the source
// reads what it responds and half after it.
type callClock struct {
	lavenderridge.FactSource
	now atomic.Int64
}

func (k *callClock) Elapsed() time.Duration { return time.Duration(k.now.Load()) }

func (k *callClock) List(c context.Context, f lavenderridge.FactKey) (*lavenderridge.FactPage, error) {
	k.now.Add(int64(500 * time.Millisecond))
	defer k.now.Add(int64(500 * time.Millisecond))
	return k.FactSource.List(c, f)
}

func (k *callClock) Watch(c context.Context, r lavenderridge.Revision, _ time.Duration) (*lavenderridge.FactPage, error) {
	k.now.Add(int64(500 * time.Millisecond))
	defer k.now.Add(int64(500 * time.Millisecond))
	return k.FactSource.Watch(c, r, 0)
}

// TestFollowerProves guards against a proof that counts from the end of a call, so that
// what changed during the call seems to be known, and against a proof while the source's
// catalogue can't be used: it may have taken keys away.
func TestFollowerProves(t *testing.T) {
	s := factsource.NewSource()
	put := func(v lavenderridge.Version, f lavenderridge.Findings) {
		a := lavenderridge.Fact{Key: "catalogue", Findings: f}
		if f == nil {
			c := &lavenderridge.Catalogue{DataCentres: []lavenderridge.DataCentre{{ID: "kyu-a", Region: "kyushu", State: lavenderridge.InService}}}
			a.Catalogue = &lavenderridge.PublishedCatalogue{Version: v, Catalogue: c}
		}
		s.Put(a)
	}
	put(1, nil)
	s.Put(lavenderridge.Fact{Key: "i/0", Instance: &lavenderridge.Instance{ID: instanceID(0), DataCentre: "kyu-a", Service: "roster", Peer: "10.0.0.0:7200", State: lavenderridge.InstanceLive, Slots: 9}})
	k := &callClock{FactSource: s}
	n := policy.NewStore(canonicalcbor.NewCodec())
	m := assembly.SystemClock{}
	a := configservice.NewAcceptor(n, confighttp.Parser{}, m, discardRecorder{}, zap.NewNop())
	p := configservice.NewProofTracker(policy.NewRevocationPlan(5*time.Second), n, k)
	f := configservice.NewFollower(k, n, a, policy.NewReadinessGate(m.Now()), policy.NewSourceContact(m.Now()), m, zap.NewNop(), instanceID(0), "kyu-a", never, metrics.NewRegistry(),
		configservice.WithFollowerProofs(p))
	c, x := context.WithCancel(t.Context())
	d := make(chan error, 1)
	go func() { d <- f.Run(c) }()
	defer func() {
		x()
		if e := <-d; e != nil {
			t.Error(e)
		}
	}()
	eventually(t, 2*time.Second, "proof", func() bool {
		v, o := p.CatalogueAge(1)
		return o && v >= time.Second
	})
	put(2, lavenderridge.Findings{{Place: "catalogue", Message: "unreadable"}})
	// A call that began before the change may still prove the version before it.
	eventually(t, 5*time.Second, "refusal of the unreadable catalogue", func() bool {
		v, _ := p.CatalogueAge(1)
		return v > 6*time.Second
	})
	put(3, nil)
	eventually(t, 2*time.Second, "proof of the next one", func() bool {
		v, o := p.CatalogueAge(3)
		return o && v <= 2*time.Second && p.Proof().Version == 3
	})
	if v, _ := p.CatalogueAge(1); v <= 6*time.Second {
		t.Errorf("catalogue 1 is said to be at most %s behind", v)
	}
}

// TestNoProofs checks that a daemon without a plan for revocations keeps nothing.
func TestNoProofs(t *testing.T) {
	var p *configservice.ProofTracker
	p.SourceResponded(1, p.BeginCall())
	p.PeerReplied(lavenderridge.CatalogueProof{Version: 1}, 0)
	if p.Plan().Enabled() || p.Age() != 0 || p.Proof() != (lavenderridge.CatalogueProof{}) {
		t.Error("proofs without a plan")
	}
}
