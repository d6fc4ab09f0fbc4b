package backendserver

import (
	"context"
	"errors"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

const (
	// probeTimeout bounds a health check.
	probeTimeout = 250 * time.Millisecond
	probePeriod  = 500 * time.Millisecond
)

// crashed reports whether the backend server crashed under a request that ran
// from b and was lost at t. It asks by a new connection, and the requests that
// were lost together share the answer.
func (h *OwnerHandler) crashed(c context.Context, b, t time.Time) bool {
	if h.crashedAt.Load() >= b.UnixNano() {
		return true
	}
	h.lost.Add(1)
	v, _, _ := h.checks.Do("", func() (any, error) {
		return h.checkCrash(context.WithoutCancel(c), t), nil
	})
	return v.(bool)
}

func (h *OwnerHandler) checkCrash(c context.Context, t time.Time) bool {
	p, e := h.probe(c)
	k := backendserver.CrashEvidence{
		Unreachable: isUnreachable(e), Health: p, Boot: h.limiter.Boot(), Lost: int(h.lost.Swap(0)),
	}
	if !k.IndicatesCrash() {
		if h.limiter.Failed(t) {
			h.record("RampRestarted", "burst of lost connections", t)
		}
		return false
	}
	h.crashedAt.Store(t.UnixNano())
	h.limiter.Crashed(t)
	if p != nil {
		h.limiter.HealthReported(*p, t)
	}
	h.record("RampRestarted", "the backend server crashed", t)
	return true
}

// probe returns what the health endpoint says, or nil and an error.
func (h *OwnerHandler) probe(c context.Context) (*lavenderridge.Health, error) {
	c, f := context.WithTimeout(c, probeTimeout)
	defer f()
	p, e := h.backend.Probe(c)
	if e != nil {
		return nil, e
	}
	return &p, nil
}

func isUnreachable(e error) bool {
	var f *lavenderridge.Refusal
	return errors.As(e, &f) && f.Reason == lavenderridge.ReasonUnreachable
}

// Run checks the backend server and the snapshot in force from time to time,
// until c ends.
func (h *OwnerHandler) Run(c context.Context) error {
	if h.listed != nil {
		return h.runListed(c)
	}
	k := time.NewTicker(probePeriod)
	defer k.Stop()
	for {
		h.Check(c)
		select {
		case <-k.C:
		case <-c.Done():
			return nil
		}
	}
}

// Check looks once at the health endpoint and at the snapshot in force.
func (h *OwnerHandler) Check(c context.Context) {
	if s := h.snapshots.Snapshot(); s != nil {
		_ = h.checkService(s, h.clock.Now())
	}
	p, e := h.probe(c)
	if e != nil {
		return
	}
	if t := h.clock.Now(); h.limiter.HealthReported(*p, t) {
		h.record("RampRestarted", "new boot mark", t)
	}
}
