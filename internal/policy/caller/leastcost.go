package caller

import (
	"math"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// paceTimeConstant is the time constant with which a reported pace decays to
	// the mean of the service and a failure rate to zero, so that a target that
	// was slow or failed is tried again.
	paceTimeConstant = 4 * time.Second
	// defaultPace is the pace assumed until any target has reported one: the
	// usual response time divided by the objective.
	defaultPace = 0.3
	// slotSlowdown is the fraction by which the response time of a target grows
	// from idle to all slots in use.
	slotSlowdown = 0.4
	// queueThreshold is the utilisation above which a request is expected to
	// queue.
	queueThreshold = 0.85
	// queueSlowdown is the fraction by which the response time grows for each unit
	// of utilisation above queueThreshold.
	queueSlowdown = 3
	// lateCoefficient and lateExponent approximate the fraction of late requests
	// as lateCoefficient * pace^lateExponent, for response times that are about
	// log-normal with a deviation of 0.5.
	lateCoefficient = 0.45
	lateExponent    = 3
	// failureCost is the cost of a target that fails all its requests, in
	// requests.
	failureCost = 1
	// failureSamples is the number of responses over which the failure rate is
	// averaged.
	failureSamples = 12
	// minServerError is the lowest HTTP status that reports a failure of the
	// backend server itself.
	minServerError = 500
	// ownRegionCost and otherRegionCost are the costs of sending a request to
	// another data centre in the same region and in another region, in requests.
	ownRegionCost   = 0.005
	otherRegionCost = 0.1
	// costPerKibibyte is the cost of a kibibyte sent to another data centre, in
	// requests: at the users' prices, 90 kB cost two thirds of a request.
	costPerKibibyte = 0.0075
	// protocolOverhead is the size that the protocol between daemons adds to a
	// request and its response.
	protocolOverhead = 2 * lavenderridge.Kibibyte
	// costJitter is the largest random increase of a target's cost, as a
	// fraction. It spreads the requests of many daemons over targets with nearly
	// equal cost.
	costJitter = 0.08
	// jitterSteps is the number of different random increases.
	jitterSteps = 1024
)

// chooseLeastCost returns the target that q admits with the least expected cost, or nil
// if there is none. The request and its response have n bytes together,
// and o is the time left until the objective.
//
// The cost of a target is its expected loss plus the cost of the distance, in
// requests.
func (v *routeTable) chooseLeastCost(r func(int) int, q *choice, n lavenderridge.ByteCount, o time.Duration) *target {
	a := v.meanPace()
	var m *target
	b := math.Inf(1)
	for d, g := range v.groups {
		e := distanceCost(distance(d), n)
		for i := range g {
			k := &g[i]
			if !q.admits(k) {
				continue
			}
			c := k.expectedLoss(a, q.now, n, o)*(1+costJitter*float64(r(jitterSteps))/jitterSteps) + e
			if c < b {
				m, b = k, c
			}
		}
	}
	return m
}

// distanceCost returns the cost of sending n bytes over the distance d, in
// requests.
func distanceCost(d distance, n lavenderridge.ByteCount) float64 {
	k := costPerKibibyte * float64(n+protocolOverhead) / float64(lavenderridge.Kibibyte)
	switch d {
	case ownDataCentre:
		return 0
	case ownRegion:
		return ownRegionCost + k
	default:
		return otherRegionCost + k
	}
}

// meanPace returns the mean of the paces that targets have reported.
func (v *routeTable) meanPace() float64 {
	var s float64
	var c int
	for _, g := range v.groups {
		for i := range g {
			if p := math.Float64frombits(g[i].pace.Load()); p > 0 {
				s, c = s+p, c+1
			}
		}
	}
	if c == 0 {
		return defaultPace
	}
	return s / float64(c)
}

// expectedLoss returns the expected fraction of requests at the target that are
// late plus the expected fraction that fail. The mean pace of the service is a,
// the size b and the time left o are those of chooseLeastCost. Response times
// vary widely: at a pace of half the objective, about 6% of requests are late.
//
// A large response also waits for the responses that are already queued on the
// target's link.
func (n *targetState) expectedLoss(a float64, t time.Duration, b lavenderridge.ByteCount, o time.Duration) float64 {
	p := math.Float64frombits(n.pace.Load())
	if p <= 0 {
		p = a
	}
	k := math.Exp(-float64(t-time.Duration(n.reportedAt.Load())) / float64(paceTimeConstant))
	p = a + (p-a)*k
	l := n.utilisation(t)
	f := math.Float64frombits(n.failureRate.Load()) * k
	p *= 1 + slotSlowdown*min(l, 1) + queueSlowdown*max(0, l-queueThreshold)
	if o > 0 && b >= lavenderridge.LargeResponse {
		w := float64(n.backlog.Load()) - float64(t-time.Duration(n.reportedAt.Load()))
		p += max(0, w) / float64(o)
	}
	return lateCoefficient*math.Pow(p, lateExponent) + failureCost*f
}

// observeStatus updates the failure rate of the target with a response of the
// status c.
func (n *targetState) observeStatus(c int) {
	b := n.failureRate.Load()
	f := math.Float64frombits(b)
	if c >= minServerError {
		f += (1 - f) / failureSamples
	} else {
		f -= f / failureSamples
	}
	n.failureRate.CompareAndSwap(b, math.Float64bits(f))
}
