package operator

import (
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
)

// maxRefusalKinds bounds the number of refusal counters. A refusal of any further
// kind is counted only among all requests.
const maxRefusalKinds = 64

// RequestMetrics is an observer that counts callers' requests and records their
// latency.
type RequestMetrics struct {
	good    metrics.Counter
	bad     metrics.Counter
	moved   metrics.Counter
	latency metrics.Histogram
	refused *copyOnWriteMap[refusalKey, metrics.Counter]
}

var _ lavenderridge.Observer = (*RequestMetrics)(nil)

// refusalKey identifies a kind of refusal; each kind has its own counter.
type refusalKey struct {
	reason  lavenderridge.Reason
	outcome lavenderridge.Outcome
}

// NewRequestMetrics returns request metrics that are registered in r.
func NewRequestMetrics(r metrics.Registry) *RequestMetrics {
	m := &RequestMetrics{
		good:    metrics.NewRegisteredCounter("Requests{Good=true}", r),
		bad:     metrics.NewRegisteredCounter("Requests{Good=false}", r),
		moved:   metrics.NewRegisteredCounter("RequestsMovedByLimit", r),
		latency: r.GetOrRegister("RequestLatencyMicroseconds", NewHistogram()).(metrics.Histogram),
	}
	m.refused = newCopyOnWriteMap(maxRefusalKinds, func(k refusalKey) metrics.Counter {
		return metrics.GetOrRegisterCounter("Refusals{Reason="+string(k.reason)+",Outcome="+k.outcome.String()+"}", r)
	})
	return m
}

// Observe implements lavenderridge.Observer.
func (m *RequestMetrics) Observe(o lavenderridge.Observation) {
	m.latency.Update(o.Latency.Microseconds())
	if o.Good {
		m.good.Inc(1)
	} else {
		m.bad.Inc(1)
	}
	if o.Limited != nil {
		m.moved.Inc(1)
	}
	if o.Refusal == nil {
		return
	}
	if c, k := m.refused.get(refusalKey{reason: o.Refusal.Reason, outcome: o.Refusal.Outcome}); k {
		c.Inc(1)
	}
}
