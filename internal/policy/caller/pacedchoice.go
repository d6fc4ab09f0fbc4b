package caller

import (
	"math"
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// paceLife is the time constant with which a reported pace fades to that of
	// the service, so that a target that was slow is tried again.
	paceLife = 4 * time.Second
	// defaultPace is assumed before any target has reported one: the part of the
	// objective that requests usually take.
	defaultPace = 0.3
	// loadSlowdown is the part by which a target slows down as its slots fill
	// up.
	loadSlowdown = 0.4
	// queueFrom is the load from which on a request is expected to wait.
	queueFrom = 0.85
	// queueCost is the cost of each further load of all slots, in paces.
	queueCost = 3
	// lateShare and lateExponent describe how the part of late requests grows
	// with the pace: times spread about log-normally with a deviation of a half.
	lateShare    = 0.45
	lateExponent = 3
	// failureCost is the cost of a target that fails all its requests.
	failureCost = 1
	// failureWeight is the number of responses over which failures are averaged.
	failureWeight = 12
	// serverError is the first status with which a backend server tells of a
	// failure of its own.
	serverError = 500
	// regionCost and remoteCost are what another data centre of the same region
	// and one of another region cost, in requests.
	regionCost = 0.005
	remoteCost = 0.1
	// byteCost is what a kibibyte to another data centre costs, in requests: by
	// the users' prices 90 kB cost two thirds of a request's worth.
	byteCost = 0.0075
	// overhead is what the protocol between daemons adds to a request.
	overhead = 2 * lavenderridge.Kibibyte
	// jitter spreads the choices of many daemons between targets that cost
	// nearly the same.
	jitter = 0.08
	// jitterSteps is the resolution of the random numbers.
	jitterSteps = 1024
)

// choosePaced returns the target outside x with the least cost for a request of
// n bytes with its response and the time o left until its objective, else the
// one whose exclusion ends first.
func (v *routeTable) choosePaced(r func(int) int, x []lavenderridge.InstanceID, t time.Duration, n lavenderridge.ByteCount, o time.Duration) *target {
	a := v.meanPace()
	var m *target
	b := math.Inf(1)
	for d, g := range v.groups {
		e := distanceCost(distance(d), n)
		for i := range g {
			k := &g[i]
			if !k.usable(t) || slices.Contains(x, k.instance.ID) {
				continue
			}
			c := k.expected(a, t, n, o)*(1+jitter*float64(r(jitterSteps))/jitterSteps) + e
			if c < b {
				m, b = k, c
			}
		}
	}
	if m != nil {
		return m
	}
	if m = v.firstBack(x); m != nil {
		return m
	}
	return v.firstBack(nil)
}

func distanceCost(d distance, n lavenderridge.ByteCount) float64 {
	k := byteCost * float64(n+overhead) / float64(lavenderridge.Kibibyte)
	switch d {
	case ownDataCentre:
		return 0
	case ownRegion:
		return regionCost + k
	default:
		return remoteCost + k
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

// expected returns the part of requests that the target is expected to answer
// late or not, where the mean pace of its service is a. Requests take times that
// spread widely, so that a pace of half an objective makes few of them late.
//
// A large response also waits for those that leave over the target's link.
func (n *targetState) expected(a float64, t time.Duration, b lavenderridge.ByteCount, o time.Duration) float64 {
	p := math.Float64frombits(n.pace.Load())
	if p <= 0 {
		p = a
	}
	k := math.Exp(-float64(t-time.Duration(n.reportedAt.Load())) / float64(paceLife))
	p = a + (p-a)*k
	l := n.cost(t)
	f := math.Float64frombits(n.failing.Load()) * k
	p *= 1 + loadSlowdown*min(l, 1) + queueCost*max(0, l-queueFrom)
	if o > 0 && b >= lavenderridge.LargeResponse {
		w := float64(n.backlog.Load()) - float64(t-time.Duration(n.reportedAt.Load()))
		p += max(0, w) / float64(o)
	}
	return lateShare*math.Pow(p, lateExponent) + failureCost*f
}

// answered takes in that the target answered with the status c.
func (n *targetState) answered(c int) {
	b := n.failing.Load()
	f := math.Float64frombits(b)
	if c >= serverError {
		f += (1 - f) / failureWeight
	} else {
		f -= f / failureWeight
	}
	n.failing.CompareAndSwap(b, math.Float64bits(f))
}
