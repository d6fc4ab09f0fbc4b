package backendserver

import (
	"context"
	"errors"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

const (
	// probeTimeout bounds a health check, and probePeriod is the time between two.
	probeTimeout = 250 * time.Millisecond
	probePeriod  = 500 * time.Millisecond
)

// crashedDuring reports whether the backend server crashed while a request
// ran, from b until it lost its connection at t. The check uses a new connection,
// which shows whether the backend server still accepts any. Requests that lost
// their connections together share one check.
func (h *OwnerHandler) crashedDuring(c context.Context, b, t time.Time) bool {
	if h.crashedAt.Load() >= b.UnixNano() {
		return true
	}
	h.lostConnections.Add(1)
	v, _, _ := h.crashChecks.Do("", func() (any, error) {
		return h.checkCrash(context.WithoutCancel(c), t), nil
	})
	return v.(bool)
}

// checkCrash checks the health endpoint after connections were lost at t, and
// reports whether the backend server crashed.
func (h *OwnerHandler) checkCrash(c context.Context, t time.Time) bool {
	p, e := h.probe(c)
	k := backendserver.CrashEvidence{
		Unreachable: isUnreachable(e), Health: p, Boot: h.limiter.Boot(), Lost: int(h.lostConnections.Swap(0)),
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

// probe returns the response of the health endpoint, or nil and an error.
func (h *OwnerHandler) probe(c context.Context) (*lavenderridge.Health, error) {
	return h.probeWith(c, h.backend.Probe)
}

// probeWith is like probe, with the call f.
func (h *OwnerHandler) probeWith(c context.Context, f func(context.Context) (lavenderridge.Health, error)) (*lavenderridge.Health, error) {
	c, x := context.WithTimeout(c, probeTimeout)
	defer x()
	p, e := f(c)
	if isUnreachable(e) {
		h.runEnded.Store(true)
	}
	if e != nil {
		return nil, e
	}
	return &p, nil
}

func isUnreachable(e error) bool {
	var f *lavenderridge.Refusal
	return errors.As(e, &f) && f.Reason == lavenderridge.ReasonUnreachable
}

// Run checks the backend server and the accepted snapshot periodically, until c
// ends.
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

// Check checks the accepted snapshot and the health endpoint once.
func (h *OwnerHandler) Check(c context.Context) {
	if s := h.snapshots.Snapshot(); s != nil {
		_ = h.checkEligible(s, h.clock.Now())
	}
	p, e := h.probe(c)
	if e != nil {
		return
	}
	t := h.clock.Now()
	if h.limiter.HealthReported(*p, t) {
		h.runEnded.Store(true)
		h.record("RampRestarted", "new boot mark", t)
	}
	h.hearHealth(p, t)
}
