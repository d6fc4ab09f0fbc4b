package backendserver

import (
	"context"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
	standin "github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
)

const (
	recoveryOwners  = 6
	recoveryService = 20 * time.Millisecond
	recoveryTimeout = 500 * time.Millisecond
	recoveryWarmUp  = 8 * time.Second
	recoveryTime    = 25 * time.Second
	recoveryBin     = 100 * time.Millisecond
	// recoveryBins is the number of good bins in a row that count as recovery.
	recoveryBins = 10
	recoveryGoal = 0.95
	// recoveryLoad is the offered part of the capacity of all slots.
	recoveryLoad = 0.5

	coldSlots lavenderridge.Slots = 2
	coldTime                      = 2 * time.Second
	downTime                      = 300 * time.Millisecond
)

// A Recovery tells how service returned after all backend servers restarted.
type Recovery struct {
	Mode    Mode
	Offered lavenderridge.Rate
	// After is the time from the restart until at least 95% of the requests
	// are answered again; zero when that did not happen.
	After     time.Duration
	Recovered bool
	// Good is the part of all requests after the restart that were answered.
	Good lavenderridge.Ratio
	// Crashes counts those that followed the restart.
	Crashes int
	// Seconds holds the part that was answered in each second.
	Seconds []lavenderridge.Ratio
}

// MeasureRecovery restarts six backend servers at once under load. They are
// cold for two seconds, bear two requests at once in that time and crash under
// more.
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
	// While it warms up, the load leaves the cold stand-ins alone.
	time.Sleep(coldTime)
	b.load(c, r.Offered, recoveryWarmUp, recoveryTimeout, func(result) {})
	s := b.boots()
	t := time.Now()
	b.restart()
	h := newHistogram(t)
	b.load(c, r.Offered, recoveryTime, recoveryTimeout, h.add)
	r.Crashes = b.boots() - s - recoveryOwners
	h.fill(&r)
	return r, nil
}

// restart crashes all stand-ins at once.
func (b *bench) restart() {
	for _, s := range b.standins {
		go func() { _ = s.Restart(downTime) }()
	}
	time.Sleep(time.Millisecond)
}

func (b *bench) boots() int {
	n := 0
	for _, s := range b.standins {
		n += s.Boots()
	}
	return n
}

// histogram counts results by the time at which the request was sent.
type histogram struct {
	begun time.Time
	mutex sync.Mutex
	all   [recoveryTime / recoveryBin]int
	good  [recoveryTime / recoveryBin]int
}

func newHistogram(t time.Time) *histogram {
	return &histogram{begun: t}
}

func (h *histogram) add(v result) {
	i := int(v.begun.Sub(h.begun) / recoveryBin)
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

func (h *histogram) fill(r *Recovery) {
	r.Good = h.ratio(0, len(h.all))
	const n = int(time.Second / recoveryBin)
	for i := 0; i+n <= len(h.all); i += n {
		r.Seconds = append(r.Seconds, h.ratio(i, i+n))
	}
	for i := 0; i+recoveryBins <= len(h.all); i++ {
		if h.recovered(i) {
			r.After, r.Recovered = time.Duration(i)*recoveryBin, true
			return
		}
	}
}

// recovered reports whether all bins of a second from i on are good.
func (h *histogram) recovered(i int) bool {
	for j := i; j < i+recoveryBins; j++ {
		if h.ratio(j, j+1) < recoveryGoal {
			return false
		}
	}
	return true
}

func (h *histogram) ratio(i, j int) lavenderridge.Ratio {
	a, g := 0, 0
	for k := i; k < j; k++ {
		a, g = a+h.all[k], g+h.good[k]
	}
	return lavenderridge.Ratio(float64(g) / float64(max(1, a)))
}
