package operator

import (
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
)

// maxRefusalKinds bounds the number of refusal counters. A refusal of any further
// kind is counted only among all requests.
const maxRefusalKinds = 64

const (
	// maxCustomers bounds the number of customers with counters of their own.
	maxCustomers = 256
	// otherCustomers is the label of the counters of all others. No customer's name begins
	// with a space.
	otherCustomers = " others"
)

// RequestMetrics is an observer that counts callers' requests and records their
// latency.
type RequestMetrics struct {
	good    metrics.Counter
	bad     metrics.Counter
	moved   metrics.Counter
	latency metrics.Histogram
	refused *copyOnWriteMap[refusalKey, metrics.Counter]
	// customers is bounded; others counts the requests of the customers beyond that.
	customers *copyOnWriteMap[lavenderridge.CustomerID, *customerCounters]
	others    func() *customerCounters
}

var _ lavenderridge.Observer = (*RequestMetrics)(nil)

// refusalKey identifies a kind of refusal; each kind has its own counter.
type refusalKey struct {
	reason  lavenderridge.Reason
	outcome lavenderridge.Outcome
}

// customerCounters counts the requests of one customer by their results.
type customerCounters struct {
	good, bad, refused metrics.Counter
}

// customerLabel replaces the characters that separate the labels of metrics.
var customerLabel = strings.NewReplacer(",", "_", "=", "_", "{", "_", "}", "_")

func newCustomerCounters(d lavenderridge.CustomerID, r metrics.Registry) *customerCounters {
	f := func(s string) metrics.Counter {
		return metrics.GetOrRegisterCounter("CustomerRequests{Customer="+customerLabel.Replace(string(d))+",Result="+s+"}", r)
	}
	return &customerCounters{good: f("Good"), bad: f("Bad"), refused: f("Refused")}
}

func (c *customerCounters) observe(o *lavenderridge.Observation) {
	switch {
	case o.Refusal != nil && o.Refusal.Outcome == lavenderridge.OutcomeNotRun:
		c.refused.Inc(1)
	case o.Good:
		c.good.Inc(1)
	default:
		c.bad.Inc(1)
	}
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
	m.others = sync.OnceValue(func() *customerCounters { return newCustomerCounters(otherCustomers, r) })
	m.customers = newCopyOnWriteMap(maxCustomers, func(d lavenderridge.CustomerID) *customerCounters { return newCustomerCounters(d, r) })
	return m
}

// countersOf returns the counters of the customer d.
func (m *RequestMetrics) countersOf(d lavenderridge.CustomerID) *customerCounters {
	if c, o := m.customers.get(d); o {
		return c
	}
	return m.others()
}

// Observe implements lavenderridge.Observer.
func (m *RequestMetrics) Observe(o lavenderridge.Observation) {
	m.latency.Update(o.Latency.Microseconds())
	if o.Good {
		m.good.Inc(1)
	} else {
		m.bad.Inc(1)
	}
	if o.Customer != "" {
		m.countersOf(o.Customer).observe(&o)
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
