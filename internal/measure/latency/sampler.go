package latency

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

const (
	lowestLatency     = int64(time.Microsecond)
	highestLatency    = int64(10 * time.Second)
	significantDigits = 3
)

// sampler makes the calls on one way and sums their latencies, processor time and
// allocations over all rounds.
type sampler struct {
	way     Way
	plan    Plan
	address lavenderridge.Address

	latency     *hdrhistogram.Histogram
	calls       int
	failed      int
	cpu         time.Duration
	allocations uint64
}

func newSampler(w Way, p Plan, a lavenderridge.Address) *sampler {
	return &sampler{way: w, plan: p, address: a, latency: hdrhistogram.New(lowestLatency, highestLatency, significantDigits)}
}

// run makes calls at the plan's rate for its duration.
func (s *sampler) run(c context.Context) {
	c, f := context.WithTimeout(c, s.plan.Duration)
	defer f()
	a := make([]*caller, s.plan.Callers)
	var w sync.WaitGroup
	u, m := processorTime(), allocationCount()
	for i := range a {
		a[i] = newCaller(s)
		w.Go(func() { a[i].run(c, time.Duration(i)*s.interval()/time.Duration(len(a))) })
	}
	w.Wait()
	s.cpu += processorTime() - u
	s.allocations += allocationCount() - m
	for _, v := range a {
		s.latency.Merge(v.latency)
		s.calls += v.calls
		s.failed += v.failed
	}
}

// interval returns the time between two calls of one caller.
func (s *sampler) interval() time.Duration {
	return time.Duration(float64(s.plan.Callers) / float64(s.plan.Rate) * float64(time.Second))
}

func (s *sampler) result() Result {
	n := max(s.calls, 1)
	return Result{
		Way: s.way, Calls: s.calls, Failed: s.failed,
		P50: s.quantile(50), P90: s.quantile(90), P99: s.quantile(99), P999: s.quantile(99.9),
		CPU: s.cpu / time.Duration(n), Allocations: float64(s.allocations) / float64(n),
	}
}

func (s *sampler) quantile(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q))
}

// caller makes calls one after the other on one connection.
type caller struct {
	sampler *sampler
	client  *http.Client
	body    []byte
	latency *hdrhistogram.Histogram
	calls   int
	failed  int
}

func newCaller(s *sampler) *caller {
	return &caller{
		sampler: s, client: &http.Client{Transport: plainhttp.NewTransport(&http.Transport{MaxConnsPerHost: 1})},
		body: make([]byte, s.plan.Body), latency: hdrhistogram.New(lowestLatency, highestLatency, significantDigits),
	}
}

// run makes calls until c ends. It waits for the time d first, so that the callers'
// calls are evenly distributed over the interval.
func (l *caller) run(c context.Context, d time.Duration) {
	defer l.client.CloseIdleConnections()
	time.Sleep(d)
	k := time.NewTicker(l.sampler.interval())
	defer k.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-k.C:
		}
		b := time.Now()
		e := l.call(context.WithoutCancel(c))
		_ = l.latency.RecordValue(int64(time.Since(b)))
		l.calls++
		if e != nil {
			l.failed++
		}
	}
}

// call makes one call and reads the whole response.
func (l *caller) call(c context.Context) error {
	q, e := http.NewRequestWithContext(c, http.MethodPost, "http://"+string(l.sampler.address)+"/roster/read", bytes.NewReader(l.body))
	if e != nil {
		return e
	}
	p, e := l.client.Do(q)
	if e != nil {
		return e
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusOK {
		return fmt.Errorf("latency: status %d", p.StatusCode)
	}
	_, e = io.Copy(io.Discard, p.Body)
	return e
}

// processorTime returns the processor time that this process has used, or 0 if the
// system does not report it.
func processorTime() time.Duration {
	var u syscall.Rusage
	if e := syscall.Getrusage(syscall.RUSAGE_SELF, &u); e != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// allocationCount returns the number of heap allocations by this process so far.
func allocationCount() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}
