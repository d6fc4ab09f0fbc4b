package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// meanInterval is the mean time between two faults. It is shorter than most
	// faults last, so that they overlap.
	meanInterval = 350 * time.Millisecond
	// burstShare is the share of faults that start a burst: the same fault is
	// injected up to maxBurst times, each at a newly drawn daemon.
	burstShare    = 0.3
	maxBurst      = 4
	burstInterval = 250 * time.Millisecond
	// minDuration and maxDuration bound the duration of a fault: minDuration is
	// shorter than the detection of a half-open connection, maxDuration longer
	// than three exchanges between daemons.
	minDuration = 100 * time.Millisecond
	maxDuration = 3500 * time.Millisecond
	// minLimitDuration is longer than the time from which a limit must be kept and the
	// window in which it is.
	minLimitDuration = 8 * time.Second
	customerCount    = 4
	// maxDelay is the upper bound of the latency that a Delay fault adds.
	maxDelay = 400 * time.Millisecond
)

// A Plan is the schedule of the faults that are injected into a fleet.
type Plan struct {
	Seed        uint64
	Daemons     int
	DataCentres int
	// Duration is the period in which faults are started; bursts and the faults
	// themselves may last longer.
	Duration time.Duration
	Steps    []Step
	// Limits are the limits that backend servers name, each another one.
	Limits []Limit
	// Customers is the number of customers; zero means that requests need no key.
	Customers int
	// Revocations are those of keys, each of another customer.
	Revocations []Revocation
}

// NewPlan generates the plan of the seed s for n daemons in c data centres, with
// faults that start within the period d. The same arguments give the same plan.
func NewPlan(s uint64, n, c int, d time.Duration) *Plan {
	p := &Plan{Seed: s, Daemons: n, DataCentres: c, Duration: d}
	r := rand.New(rand.NewPCG(s, s))
	f := Faults()
	for t := time.Duration(0); t < d; t += time.Duration(r.ExpFloat64() * float64(meanInterval)) {
		k := f[r.IntN(len(f))]
		m := 1
		if r.Float64() < burstShare {
			m += r.IntN(maxBurst)
		}
		for i := range m {
			p.Steps = append(p.Steps, p.drawStep(r, k, t+time.Duration(i)*burstInterval))
		}
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	p.drawLimits(rand.New(rand.NewPCG(s, s+1)))
	p.drawRevocations(rand.New(rand.NewPCG(s, s+2)))
	return p
}

// drawRevocations draws revocations at half of the customers, in the first half of the plan,
// so that their bound ends before it. They have a generator of their own, as limits do.
func (p *Plan) drawRevocations(r *rand.Rand) {
	p.Customers = customerCount
	for _, i := range r.Perm(p.Customers)[:p.Customers/2] {
		p.Revocations = append(p.Revocations, Revocation{At: time.Duration(r.Int64N(int64(p.Duration)/2 + 1)), Customer: i})
	}
}

// drawLimits draws limits for up to half of the backend servers. They have a generator of
// their own, so that the steps of recorded seeds stay the same.
func (p *Plan) drawLimits(r *rand.Rand) {
	a := []lavenderridge.Rate{0, 0.5, 1, 4, 15}
	for _, i := range r.Perm(p.Daemons)[:(p.Daemons+1)/2] {
		p.Limits = append(p.Limits, Limit{
			At: time.Duration(r.Int64N(int64(p.Duration)/2 + 1)), Daemon: i, Rate: a[r.IntN(len(a))],
			Duration: minLimitDuration + time.Duration(r.Int64N(int64(minLimitDuration))),
		})
	}
}

// drawStep draws a step with the fault k at the time t. Draws must keep their
// order and number: recorded seeds depend on them.
func (p *Plan) drawStep(r *rand.Rand, k Fault, t time.Duration) Step {
	s := Step{At: t, Fault: k, Daemon: r.IntN(p.Daemons)}
	switch k {
	case Silence, Reset, Cut, OneWay, Delay:
		s.Link = []Link{PeerLink, BackendLink, SourceLink}[r.IntN(3)]
	case Away:
		s.Daemon = r.IntN(p.DataCentres)
	}
	switch k {
	case Pause, Cut, OneWay, Outage, Away, Kill, Crash:
		s.Duration = minDuration + time.Duration(r.Int64N(int64(maxDuration-minDuration)))
	case Delay:
		s.Duration = time.Duration(r.Int64N(int64(maxDelay)))
	}
	return s
}
