package configservice_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
)

// sourceSession plays the entries of a source that never comes back from an older copy,
// and one reader's mirror and store.
type sourceSession struct {
	store    *configservice.Store
	mirror   *configservice.Mirror
	facts    map[lavenderridge.FactKey]lavenderridge.Fact
	events   []lavenderridge.Fact // that the reader hasn't seen
	revision lavenderridge.Revision
	time     time.Time
	accepted lavenderridge.Version
}

// write writes the fact f, or deletes it.
func (s *sourceSession) write(f lavenderridge.Fact) {
	s.revision++
	o, k := s.facts[f.Key]
	if f.Deleted && !k {
		return
	}
	f.Revision, f.Created = s.revision, s.revision
	if k {
		f.Created = o.Created
	}
	if f.Instance != nil {
		f.Instance.Revision = f.Revision
	}
	s.facts[f.Key] = f
	if f.Deleted {
		delete(s.facts, f.Key)
	}
	s.events = append(s.events, f)
}

// list applies a listing of the source to the mirror.
func (s *sourceSession) list() {
	var a []lavenderridge.Fact
	for _, f := range s.facts {
		a = append(a, f)
	}
	s.mirror.ApplyListing(a, s.revision, s.revision, s.time)
	s.events = nil
}

// watch applies the changes of the source to the mirror.
func (s *sourceSession) watch() {
	s.mirror.ApplyChanges(&lavenderridge.FactPage{Facts: s.events, AsOf: s.revision}, s.time)
	s.events = nil
}

// instanceFact returns the entry of the instance n in its run r and the state v. Each run
// has a key of its own, so that there may be two entries for one address.
func instanceFact(n, r int, v lavenderridge.InstanceState) lavenderridge.Fact {
	d := lavenderridge.InstanceID(fmt.Sprintf("i%d", n))
	return lavenderridge.Fact{Key: lavenderridge.FactKey(fmt.Sprintf("%s-%d", d, r)), Instance: &lavenderridge.Instance{
		ID: d, DataCentre: "kyu-a", Service: "roster", Peer: "10.0.0.1:7620", State: v,
		Backend: lavenderridge.BackendID(fmt.Sprintf("%s-%d", d, r)),
	}}
}

// TestConstantEraHoldsNothing guards against changes to deployments whose source never
// comes back from an older copy: whatever its entries do, before, during and after
// outages, the list that a reader builds is the one that is used, at once.
func TestConstantEraHoldsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &sourceSession{
			store: configservice.NewStore(canonicalcbor.NewCodec()), mirror: configservice.NewMirror(),
			facts: make(map[lavenderridge.FactKey]lavenderridge.Fact), revision: 1, time: time0,
		}
		s.store.OrderByEra()
		e := lavenderridge.Era(rapid.Uint64Range(0, 3).Draw(t, "era"))
		for range rapid.IntRange(60, 120).Draw(t, "steps") {
			n, r := rapid.IntRange(0, 2).Draw(t, "instance"), rapid.IntRange(0, 1).Draw(t, "run")
			z := lavenderridge.Fact{Key: "z", Evacuated: "kyu-a"}
			read := false
			switch rapid.SampledFrom([]string{"live", "watch", "delete", "unusable", "fail", "advance", "list", "leaving", "evacuate", "take back"}).Draw(t, "step") {
			case "live":
				s.write(instanceFact(n, r, lavenderridge.InstanceLive))
			case "leaving":
				s.write(instanceFact(n, r, lavenderridge.InstanceLeaving))
			case "unusable":
				s.write(lavenderridge.Fact{Key: instanceFact(n, r, lavenderridge.InstanceLive).Key})
			case "delete":
				s.write(lavenderridge.Fact{Key: instanceFact(n, r, lavenderridge.InstanceLive).Key, Deleted: true})
			case "evacuate":
				s.write(z)
			case "take back":
				s.write(lavenderridge.Fact{Key: z.Key, Deleted: true})
			case "fail":
				s.mirror.SourceFailed()
			case "advance":
				s.time = s.time.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "milliseconds")) * time.Millisecond)
			case "watch":
				read = true
				if s.mirror.AsOf() > 0 {
					s.watch()
					break
				}
				fallthrough
			case "list":
				read = true
				if s.mirror.BeginEra(e) && s.mirror.HasReturned() {
					t.Fatal("a return without one")
				}
				s.list()
			}
			if !read {
				continue
			}
			s.mirror.CompareList(s.accepted, true)
			l, v := s.mirror.InstanceList(s.time)
			if v <= s.accepted {
				continue
			}
			if o, e := s.store.OfferInstanceList(configservice.Offer{Version: v, Origin: lavenderridge.OriginSource, Time: s.time}, l); o != configservice.OfferAccepted {
				t.Fatalf("version %d: %s, %v", v, o, e)
			}
			s.accepted = v
			if g := s.store.InstanceList(); !reflect.DeepEqual(g, l) {
				t.Fatalf("version %d: uses %+v; want %+v", v, g, l)
			}
			if _, o := s.store.HeldUntil(); o || s.mirror.HasReturned() || configservice.ListEra(v) > 0 {
				t.Fatalf("version %s: something is held, or a return known, without one", configservice.FormatListVersion(v))
			}
		}
	})
}
