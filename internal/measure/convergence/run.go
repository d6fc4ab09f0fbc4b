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
	// warmUpTime is long enough for anti-entropy to open the connections to all
	// neighbours, so that their TLS handshakes do not count as part of a change.
	warmUpTime     = 25 * time.Second
	settleTime     = 3 * time.Second
	changeInterval = time.Second
	// peakCalls counts calls within windows of peakWindow.
	peakWindow       = time.Second
	peakSamplePeriod = 50 * time.Millisecond
)

// Run measures the fleets of the plan p and calls w with each report.
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

// measure measures a fleet of n daemons that have the options o. Report.Mode becomes m.
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
		pause(c, warmUpTime)
	}
	if e := f.measureChanges(c, r); e != nil {
		return nil, e
	}
	pause(c, settleTime)
	f.measureRest(c, r)
	r.Heap, r.Resident = (heapBytes()-h)/float64(n), (residentBytes()-s)/float64(n)
	r.ChangeBytes -= r.RestBytes * changeInterval.Seconds()
	if c.Err() != nil {
		return nil, c.Err()
	}
	return r, f.measureStorm(c, r)
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

// measureChanges publishes changes of the two documents in turn, and records the
// latencies, traffic and processor time for one change.
func (f *fleet) measureChanges(c context.Context, r *Report) error {
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
			pause(c, changeInterval-time.Since(t))
		}
	}
	r.Catalogue, r.List = summarise(a), summarise(b)
	x := f.usage()
	n := float64(2 * f.plan.Changes * len(f.daemons))
	r.ChangeBytes = 2 * (x.sentBytes - u.sentBytes) / n
	r.PullBytes = (x.pullBytes - u.pullBytes) / n
	r.Announcements, r.AntiEntropy = (x.announcements-u.announcements)/n, (x.antiEntropy-u.antiEntropy)/n
	r.Deltas, r.Wholes = (x.deltas-u.deltas)/n, (x.wholes-u.wholes)/n
	r.ChangeCPU = time.Duration(float64(x.processorTime-u.processorTime) / n)
	return nil
}

// summarise returns the summary for several changes: the median of their medians,
// the maximum of the other percentiles, and the sum of the counts.
func summarise(a []Latencies) Latencies {
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

// measureRest records traffic, calls to the source and processor time while no
// document changes.
func (f *fleet) measureRest(c context.Context, r *Report) {
	u := f.usage()
	pause(c, f.plan.Rest)
	x := f.usage()
	n := float64(len(f.daemons))
	d := x.time.Sub(u.time).Seconds()
	r.RestBytes = 2 * (x.sentBytes - u.sentBytes) / n / d
	r.ExchangeBytes = 2 * (x.exchangeBytes - u.exchangeBytes) / n / d
	r.RestCalls = (x.sourceCalls - u.sourceCalls) / d
	r.RestCPU = (x.processorTime - u.processorTime).Seconds() / n / d
}

// measureStorm stops all daemons and starts them again simultaneously, without any
// document, and records the time until they are ready and the load on the source.
func (f *fleet) measureStorm(c context.Context, r *Report) error {
	f.stopDaemons()
	u, _ := f.source.Calls()
	x, g := context.WithCancel(c)
	k := make(chan float64, 1)
	go func() { k <- f.peakCalls(x) }()
	t := time.Now()
	if e := f.start(c); e != nil {
		g()
		return e
	}
	r.Storm = f.awaitReady(t)
	n, q := f.source.Calls()
	g()
	r.StormPeak, r.StormCalls, r.Refused = <-k, float64(n-u), float64(q)
	r.StormBytes = 2 * f.usage().sentBytes / float64(len(f.daemons))
	return nil
}

// peakCalls returns the highest number of calls to the source within one second,
// until c ends.
func (f *fleet) peakCalls(c context.Context) float64 {
	var a []uint64
	var m uint64
	for c.Err() == nil {
		n, _ := f.source.Calls()
		a = append(a, n)
		if i := len(a) - 1 - int(peakWindow/peakSamplePeriod); i >= 0 {
			m = max(m, n-a[i])
		} else {
			m = max(m, n-a[0])
		}
		pause(c, peakSamplePeriod)
	}
	return float64(m)
}

// pause waits for the time d or until c ends.
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
