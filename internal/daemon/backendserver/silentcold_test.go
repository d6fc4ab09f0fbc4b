package backendserver_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
)

// silentServer turns cold without a restart, and only its health endpoint says so.
type silentServer struct {
	work, healthDelay time.Duration

	mutex     sync.Mutex
	coldUntil time.Time
	received  []time.Time
	checks    int
}

func (v *silentServer) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	v.mutex.Lock()
	v.received = append(v.received, time.Now())
	v.mutex.Unlock()
	time.Sleep(v.work)
	return &lavenderridge.Response{ID: r.ID, Status: http.StatusOK}, nil
}

func (v *silentServer) Probe(context.Context) (lavenderridge.Health, error) {
	v.mutex.Lock()
	v.checks++
	h := lavenderridge.Health{Ready: true, Cold: max(time.Until(v.coldUntil), 0)}
	v.mutex.Unlock()
	time.Sleep(v.healthDelay)
	return h, nil
}

func (v *silentServer) Recheck(c context.Context) (lavenderridge.Health, error) { return v.Probe(c) }

func (v *silentServer) Close() error { return nil }

// mostInSecond returns the most requests in any second from t on.
func (v *silentServer) mostInSecond(t time.Time) int {
	most := 0
	for i, a := range v.received {
		n := 0
		for _, b := range v.received[i:] {
			if b.Sub(a) < time.Second {
				n++
			}
		}
		if !a.Before(t) {
			most = max(most, n)
		}
	}
	return most
}

// TestSilentCold sends requests to a backend server that turns cold after 5 s for 3 s, and
// prints how many it gets. It guards against the full rate until its entry tells that it is
// cold, and against a warm one that is slowed down.
func TestSilentCold(t *testing.T) {
	datadriven.RunTest(t, "testdata/silentcold", func(t *testing.T, d *datadriven.TestData) string {
		var rate, health int
		d.ScanArgs(t, "rate", &rate)
		d.MaybeScanArgs(t, "health-ms", &health)
		var b strings.Builder
		synctest.Test(t, func(t *testing.T) {
			v := &silentServer{work: 20 * time.Millisecond, healthDelay: time.Duration(health) * time.Millisecond}
			s := &session{now: time.Now()}
			s.publish(nil, lavenderridge.Service{ID: "billing", Slots: 9, Connections: 100, Queue: 10, ColdRate: 15, ColdStart: 3 * time.Second})
			h := backendserver.NewOwnerHandler(s, func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "a"} }, v, backendserver.WithListedCapacity(1.5, 5, 0))
			c, f := context.WithCancel(t.Context())
			var g sync.WaitGroup
			g.Go(func() { _ = h.Run(c) })
			time.Sleep(2 * time.Second)
			a := time.Now()
			refused := 0
			for i := range 8 * rate {
				time.Sleep(time.Until(a.Add(time.Duration(i) * time.Second / time.Duration(rate))))
				if n := time.Since(a); n >= 5*time.Second && v.coldUntil.IsZero() {
					v.mutex.Lock()
					v.coldUntil = time.Now().Add(3 * time.Second)
					_, _ = fmt.Fprintf(&b, "warm: %d of %d requests, %d health checks\n", len(v.received), i, v.checks)
					v.mutex.Unlock()
				}
				g.Go(func() {
					if _, e := h.Handle(t.Context(), &lavenderridge.Request{ID: "r", Target: "a", Service: "billing", Deadline: time.Now().Add(time.Second)}); e != nil {
						v.mutex.Lock()
						defer v.mutex.Unlock()
						refused++
					}
				})
			}
			time.Sleep(time.Second)
			f()
			g.Wait()
			_, _ = fmt.Fprintf(&b, "cold: at most %d in a second\n", v.mostInSecond(a.Add(5*time.Second)))
		})
		return b.String()
	})
}
