package assembly_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
	"github.com/lavenderridge/lavenderridge/internal/standin/mesh"
	"github.com/lavenderridge/lavenderridge/internal/transport/callerhttp"
)

// TestUnresponsiveInstance checks that a listed instance that does not respond
// delays only the keys whose home changes. The other keys must remain usable
// while the homes wait for the acknowledgement of that instance.
func TestUnresponsiveInstance(t *testing.T) {
	m := startMesh(t, mesh.WithReplicas(2))
	if e := m.WaitReady(t.Context()); e != nil {
		t.Fatal(e)
	}
	if e := m.Members[3].Stop(); e != nil {
		t.Fatal(e)
	}
	l := &lavenderridge.InstanceList{}
	for _, n := range m.Members {
		l.Instances = append(l.Instances, n.Instance)
	}
	s := lavenderridge.NewSnapshot(m.Catalogue, l, lavenderridge.Stamps{}, time.Now())
	m.Catalogue.Instances = []lavenderridge.InstanceOverride{{ID: m.Members[2].Instance.ID, State: lavenderridge.OutOfService}}
	if e := m.Publish(); e != nil {
		t.Fatal(e)
	}
	time.Sleep(200 * time.Millisecond)
	for range 40 {
		k := keyWithHome(s, m.Members[0].Instance.ID, m.Members[1].Instance.ID)
		if v, r := post(t, m.Members[0].CallerAddress(), "/roster/write", k); v != http.StatusOK {
			t.Errorf("status %d %s", v, r)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// keyWithHome returns a new key whose home under the snapshot s is one of a.
func keyWithHome(s *lavenderridge.Snapshot, a ...lavenderridge.InstanceID) lavenderridge.IdempotencyKey {
	for {
		k := lavenderridge.IdempotencyKey(uuid.Must(uuid.NewV7()).String())
		h := peer.Home(s, "roster", k).ID
		for _, n := range a {
			if h == n {
				return k
			}
		}
	}
}

func post(t *testing.T, a lavenderridge.Address, p string, k lavenderridge.IdempotencyKey) (status int, reason string) {
	t.Helper()
	q, e := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+string(a)+p, http.NoBody)
	if e != nil {
		t.Fatal(e)
	}
	q.Header.Set(callerhttp.IdempotencyKeyHeader, string(k))
	r, e := http.DefaultClient.Do(q)
	if e != nil {
		t.Fatal(e)
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode, r.Header.Get(callerhttp.ReasonHeader)
}
