package backendserver_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
	policy "github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// inactiveHome is a home that never becomes active.
type inactiveHome struct{ lavenderridge.HomeAuthority }

func (h inactiveHome) Authority() lavenderridge.KeyAuthority { return h }

func (inactiveHome) Changed() <-chan struct{} { return nil }

func (inactiveHome) Decide(lavenderridge.IdempotencyKey, lavenderridge.Versions, time.Time) error {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNotActive, "")
}

// TestDrainRefusesWaitingRequest checks that a keyed request that waits for its
// home to become active is refused immediately when the daemon shuts down, and
// that later requests do not wait either.
func TestDrainRefusesWaitingRequest(t *testing.T) {
	s := &session{now: time.Now()}
	h := backendserver.NewLedgerHandler(policy.NewLedger(policy.DefaultLedgerLimits()), inactiveHome{}, "billing", s,
		func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "a"} }, s, s)
	u, e := uuid.NewV7()
	if e != nil {
		t.Fatal(e)
	}
	r := &lavenderridge.Request{ID: "r", Service: "billing", Key: lavenderridge.IdempotencyKey(u.String())}
	for _, m := range []time.Duration{50 * time.Millisecond, 0} {
		d := make(chan error, 1)
		go func() {
			_, e := h.Handle(t.Context(), r)
			d <- e
		}()
		time.Sleep(m)
		h.Drain(context.Background())
		select {
		case e := <-d:
			if e == nil {
				t.Error("request to an inactive home succeeded")
			}
		case <-time.After(100 * time.Millisecond):
			t.Error("request still waits for its home after the shutdown began")
		}
	}
}

// activeHome is a home that may run every key.
type activeHome struct{ inactiveHome }

func (h activeHome) Authority() lavenderridge.KeyAuthority { return h }

func (activeHome) Decide(lavenderridge.IdempotencyKey, lavenderridge.Versions, time.Time) error {
	return nil
}

func (activeHome) Finished(lavenderridge.IdempotencyKey) {}

// countingHandler counts the requests that run.
type countingHandler struct{ runs int }

func (h *countingHandler) Handle(_ context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	h.runs++
	return &lavenderridge.Response{ID: r.ID, Status: 200, Body: []byte("of " + r.Customer)}, nil
}

// TestCustomersShareNoIdempotencyKey checks that a request with the idempotency key of
// another customer's request, and the same content, gets a refusal and not the response to
// the other one, and that it does not run either.
func TestCustomersShareNoIdempotencyKey(t *testing.T) {
	s, n := &session{now: time.Now()}, &countingHandler{}
	h := backendserver.NewLedgerHandler(policy.NewLedger(policy.DefaultLedgerLimits()), activeHome{}, "billing", s,
		func() lavenderridge.Sender { return lavenderridge.Sender{Instance: "a"} }, s, n)
	u, e := uuid.NewV7()
	if e != nil {
		t.Fatal(e)
	}
	for _, c := range []lavenderridge.CustomerID{"large", "large", "small", ""} {
		r := &lavenderridge.Request{ID: "r", Service: "billing", Method: "POST", Path: "/", Customer: c, Key: lavenderridge.IdempotencyKey(u.String())}
		p, e := h.Handle(t.Context(), r)
		if c == "large" && (e != nil || string(p.Body) != "of large") {
			t.Errorf("customer %q: %v, %v; want its own response", c, p, e)
		}
		if c != "large" && (e == nil || lavenderridge.AsRefusal(e).Reason != lavenderridge.ReasonKeyInUse) {
			t.Errorf("customer %q: %v, %v; want the reason KeyInUse", c, p, e)
		}
	}
	if n.runs != 1 {
		t.Errorf("%d runs; want 1", n.runs)
	}
}
