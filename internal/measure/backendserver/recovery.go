package backendserver

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
	standin "github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
)

const (
	recoveryOwners   = 6
	recoveryService  = 20 * time.Millisecond
	recoveryTimeout  = 500 * time.Millisecond
	recoveryWarmUp   = 8 * time.Second
	recoveryTime     = 25 * time.Second
	recoveryBinWidth = 100 * time.Millisecond
	// recoveryBins is the number of consecutive bins in which at least the fraction
	// recoveryGoal of the requests must be answered to count as recovered.
	recoveryBins = 10
	recoveryGoal = 0.95
	// recoveryLoad is the offered load as a fraction of the capacity of all slots.
	recoveryLoad = 0.5

	coldSlots lavenderridge.Slots = 2
	coldTime                      = 2 * time.Second
	downTime                      = 300 * time.Millisecond
)

// A Recovery is the course of the service after a simultaneous restart of all
// backend servers.
type Recovery struct {
	Mode    Mode
	Offered lavenderridge.Rate
	// After is the time from the restart until at least 95% of the requests
	// are answered in time again, in every tenth of a second for a second. It is
	// zero, and Recovered is false, if that did not happen.
	After     time.Duration
	Recovered bool
	// Good is the fraction of the requests after the restart that were answered in
	// time.
	Good lavenderridge.Ratio
	// Crashes is the number of further crashes that cold backend servers had under
	// too many requests after the restart.
	Crashes int
	// Seconds contains the fraction of the requests of each second that were
	// answered in time.
	Seconds []lavenderridge.Ratio
}

// MeasureRecovery restarts six backend servers simultaneously under load, with the
// admission control m. They are cold for two seconds; in that time, they can handle
// two concurrent requests and crash under more.
func MeasureRecovery(c context.Context, m Mode) (Recovery, error) {
	c, x := context.WithCancel(c)
	defer x()
	r := Recovery{Mode: m, Offered: lavenderridge.Rate(recoveryLoad * recoveryOwners * float64(slots) / recoveryService.Seconds())}
	b, e := newBench(c, recoveryOwners, m, recoveryService,
		standin.WithColdStart(coldSlots, coldTime, standin.FailureCrash), standin.WithRestartTime(downTime))
	if e != nil {
		return r, e
	}
	defer b.close()
	defer x()
	// The load starts only after the stand-ins have warmed up, so that it does not
	// crash them before the measurement.
	time.Sleep(coldTime)
	b.sendLoad(c, r.Offered, recoveryWarmUp, recoveryTimeout, func(result) {})
	s := b.boots()
	t := time.Now()
	b.restartAll()
	h := newHistogram(t)
	b.sendLoad(c, r.Offered, recoveryTime, recoveryTimeout, h.add)
	r.Crashes = b.boots() - s - recoveryOwners
	h.summarise(&r)
	return r, nil
}

// restartAll crashes all stand-ins simultaneously. They are down for downTime. It
// waits for a millisecond so that the goroutines that crash them can run.
func (b *bench) restartAll() {
	for _, s := range b.standins {
		go func() { _ = s.Restart(downTime) }()
	}
	time.Sleep(time.Millisecond)
}

// boots returns how often all stand-ins together have started.
func (b *bench) boots() int {
	n := 0
	for _, s := range b.standins {
		n += s.Boots()
	}
	return n
}

// histogram counts the results in bins of recoveryBinWidth, by the time at which the
// request was first sent.
type histogram struct {
	begun time.Time
	mutex sync.Mutex
	all   [recoveryTime / recoveryBinWidth]int
	good  [recoveryTime / recoveryBinWidth]int
}

func newHistogram(t time.Time) *histogram {
	return &histogram{begun: t}
}

func (h *histogram) add(v result) {
	i := int(v.begun.Sub(h.begun) / recoveryBinWidth)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if i < 0 || i >= len(h.all) {
		return
	}
	h.all[i]++
	if v.good {
		h.good[i]++
	}
}

// summarise sets the fields of r that follow from the counts.
func (h *histogram) summarise(r *Recovery) {
	r.Good = h.ratio(0, len(h.all))
	const n = int(time.Second / recoveryBinWidth)
	for i := 0; i+n <= len(h.all); i += n {
		r.Seconds = append(r.Seconds, h.ratio(i, i+n))
	}
	for i := 0; i+recoveryBins <= len(h.all); i++ {
		if h.recovered(i) {
			r.After, r.Recovered = time.Duration(i)*recoveryBinWidth, true
			return
		}
	}
}

// recovered reports whether the bin i and those after it, recoveryBins in all, reach
// recoveryGoal.
func (h *histogram) recovered(i int) bool {
	for j := i; j < i+recoveryBins; j++ {
		if h.ratio(j, j+1) < recoveryGoal {
			return false
		}
	}
	return true
}

// ratio returns the fraction of good results in the bins from i to before j.
func (h *histogram) ratio(i, j int) lavenderridge.Ratio {
	a, g := 0, 0
	for k := i; k < j; k++ {
		a, g = a+h.all[k], g+h.good[k]
	}
	return lavenderridge.Ratio(float64(g) / float64(max(1, a)))
}
