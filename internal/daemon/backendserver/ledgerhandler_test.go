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
