package plan

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// meanGap is the mean time between two faults. It is shorter than most of
	// them last, so that they overlap.
	meanGap = 350 * time.Millisecond
	// seriesShare is the part of faults that come again soon, at another daemon.
	seriesShare = 0.3
	maxSeries   = 4
	seriesGap   = 250 * time.Millisecond
	// minFor and maxFor bound the time of a fault: from below the time in which
	// a silent connection is found to above that of three exchanges.
	minFor = 100 * time.Millisecond
	maxFor = 3500 * time.Millisecond
	// maxDelay bounds a Delay.
	maxDelay = 400 * time.Millisecond
)

// A Plan is what is done to a fleet of N daemons in C data centres.
type Plan struct {
	Seed    uint64
	Daemons int
	Centres int
	// For is how long faults are begun.
	For   time.Duration
	Steps []Step
}

// NewPlan draws the plan of the seed s.
func NewPlan(s uint64, n, c int, d time.Duration) *Plan {
	p := &Plan{Seed: s, Daemons: n, Centres: c, For: d}
	r := rand.New(rand.NewPCG(s, s))
	f := Faults()
	for t := time.Duration(0); t < d; t += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		k := f[r.IntN(len(f))]
		m := 1
		if r.Float64() < seriesShare {
			m += r.IntN(maxSeries)
		}
		for i := range m {
			p.Steps = append(p.Steps, p.step(r, k, t+time.Duration(i)*seriesGap))
		}
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return p
}

func (p *Plan) step(r *rand.Rand, k Fault, t time.Duration) Step {
	s := Step{At: t, Fault: k, Daemon: r.IntN(p.Daemons)}
	switch k {
	case Silence, Reset, Cut, OneWay, Delay:
		s.Link = []Link{PeerLink, BackendLink, SourceLink}[r.IntN(3)]
	case Away:
		s.Daemon = r.IntN(p.Centres)
	}
	switch k {
	case Pause, Cut, OneWay, Outage, Away, Kill, Crash:
		s.For = minFor + time.Duration(r.Int64N(int64(maxFor-minFor)))
	case Delay:
		s.For = time.Duration(r.Int64N(int64(maxDelay)))
	}
	return s
}
