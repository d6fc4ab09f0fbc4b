package convergence

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
)

const (
	// warmTime is long enough for connections to all neighbours to be made by
	// anti-entropy, so that their handshakes do not count as part of a change.
	warmTime    = 25 * time.Second
	settleTime  = 3 * time.Second
	changePause = time.Second
	peakWindow  = time.Second
	peakSample  = 50 * time.Millisecond
)

// Run measures fleets by the plan p and calls w with each report.
func Run(c context.Context, p Plan, w func(Report)) error {
	for _, n := range p.Sizes {
		r, e := measure(c, p, n, "neighbours")
		if e != nil {
			return e
		}
		w(*r)
		if !p.Baseline {
			continue
		}
		if r, e = measure(c, p, n, "source", assembly.WithSourceOnly()); e != nil {
			return e
		}
		w(*r)
	}
	return nil
}

func measure(c context.Context, p Plan, n int, m string, o ...assembly.Option) (*Report, error) {
	debug.FreeOSMemory()
	h, s := heapBytes(), residentBytes()
	f, e := newFleet(p, n, o...)
	if e != nil {
		return nil, e
	}
	if e := f.start(c); e != nil {
		return nil, e
	}
	defer f.close()
	r := &Report{Daemons: n, Mode: m}
	f.awaitReady(time.Now())
	if m == "neighbours" {
		pause(c, warmTime)
	}
	if e := f.changes(c, r); e != nil {
		return nil, e
	}
	pause(c, settleTime)
	f.rest(c, r)
	r.Heap, r.Resident = (heapBytes()-h)/float64(n), (residentBytes()-s)/float64(n)
	r.ChangeBytes -= r.RestBytes * changePause.Seconds()
	if c.Err() != nil {
		return nil, c.Err()
	}
	return r, f.storm(c, r)
}

func (f *fleet) awaitReady(t time.Time) Latencies {
	return f.await(t, func(s *operatorhttp.Status) bool { return s.Ready }, func(*operatorhttp.Status) time.Time { return time.Now() })
}

func (f *fleet) awaitVersion(t time.Time, d lavenderridge.DocumentName, v lavenderridge.Version) Latencies {
	if d == lavenderridge.DocumentCatalogue {
		return f.await(t,
			func(s *operatorhttp.Status) bool { return s.Versions.Catalogue >= v },
			func(s *operatorhttp.Status) time.Time { return s.CatalogueAcceptedAt })
	}
	return f.await(t,
		func(s *operatorhttp.Status) bool { return s.Versions.InstanceList >= v },
		func(s *operatorhttp.Status) time.Time { return s.InstanceListAcceptedAt })
}

// changes publishes changes of both documents, one after the other.
func (f *fleet) changes(c context.Context, r *Report) error {
	var a, b []Latencies
	u := f.usage()
	for range f.plan.Changes {
		if c.Err() != nil {
			return c.Err()
		}
		for _, d := range []lavenderridge.DocumentName{lavenderridge.DocumentCatalogue, lavenderridge.DocumentInstanceList} {
			t := time.Now()
			v, e := f.publish(d)
			if e != nil {
				return e
			}
			l := f.awaitVersion(t, d, v)
			if d == lavenderridge.DocumentCatalogue {
				a = append(a, l)
			} else {
				b = append(b, l)
			}
			pause(c, changePause-time.Since(t))
		}
	}
	r.Catalogue, r.List = worst(a), worst(b)
	x := f.usage()
	n := float64(2 * f.plan.Changes * len(f.daemons))
	r.ChangeBytes = 2 * (x.sent - u.sent) / n
	r.PullBytes = (x.pulls - u.pulls) / n
	r.Announcements, r.AntiEntropy = (x.announcements-u.announcements)/n, (x.antiEntropy-u.antiEntropy)/n
	r.Deltas, r.Wholes = (x.deltas-u.deltas)/n, (x.wholes-u.wholes)/n
	r.ChangeCPU = time.Duration(float64(x.processor-u.processor) / n)
	return nil
}

// worst returns the median of the medians and the worst of the rest.
func worst(a []Latencies) Latencies {
	var m []time.Duration
	var w Latencies
	for _, l := range a {
		m = append(m, l.P50)
		w.Count += l.Count
		w.P99, w.Max = max(w.P99, l.P99), max(w.Max, l.Max)
		w.TimedOut += l.TimedOut
	}
	w.P50 = newLatencies(m, 0).P50
	return w
}

func (f *fleet) rest(c context.Context, r *Report) {
	u := f.usage()
	pause(c, f.plan.Rest)
	x := f.usage()
	n := float64(len(f.daemons))
	d := x.time.Sub(u.time).Seconds()
	r.RestBytes = 2 * (x.sent - u.sent) / n / d
	r.ExchangeBytes = 2 * (x.exchanges - u.exchanges) / n / d
	r.RestCalls = (x.calls - u.calls) / d
	r.RestCPU = (x.processor - u.processor).Seconds() / n / d
}

// storm stops all daemons and starts them again at once, holding nothing.
func (f *fleet) storm(c context.Context, r *Report) error {
	f.halt()
	u, _ := f.source.Calls()
	x, g := context.WithCancel(c)
	k := make(chan float64, 1)
	go func() { k <- f.peak(x) }()
	t := time.Now()
	if e := f.start(c); e != nil {
		g()
		return e
	}
	r.Storm = f.awaitReady(t)
	n, q := f.source.Calls()
	g()
	r.StormPeak, r.StormCalls, r.Refused = <-k, float64(n-u), float64(q)
	r.StormBytes = 2 * f.usage().sent / float64(len(f.daemons))
	return nil
}

// peak returns the calls to the source in the worst second until c ends.
func (f *fleet) peak(c context.Context) float64 {
	var a []uint64
	var m uint64
	for c.Err() == nil {
		n, _ := f.source.Calls()
		a = append(a, n)
		if i := len(a) - 1 - int(peakWindow/peakSample); i >= 0 {
			m = max(m, n-a[i])
		} else {
			m = max(m, n-a[0])
		}
		pause(c, peakSample)
	}
	return float64(m)
}

func pause(c context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.Done():
	case <-t.C:
	}
}
