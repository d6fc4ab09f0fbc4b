package convergence

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge/internal/daemon/peer"
)

// headerBytes is the size of an IPv4 header and a TCP header without options.
const headerBytes = 40

// usage is the sum of the resources that the daemons of a fleet have used until
// time. The processor time includes the source and the measurement.
type usage struct {
	time          time.Time
	sentBytes     float64
	exchangeBytes float64
	pullBytes     float64
	sourceCalls   float64
	refusedCalls  float64
	processorTime time.Duration
	announcements float64
	antiEntropy   float64
	deltas        float64
	wholes        float64
}

// usage returns the usage until now. The bytes sent include an estimate of the
// headers: one IPv4 and one TCP header for each write call.
func (f *fleet) usage() usage {
	u := usage{time: time.Now(), processorTime: processorTime()}
	for _, d := range f.daemons {
		c := d.PeerTraffic()
		b, n := c.Sent()
		u.sentBytes += float64(b) + headerBytes*float64(n)
		_, x := c.Exchanges()
		u.exchangeBytes += float64(x)
		_, p := c.Pulls()
		u.pullBytes += float64(p)
		r := d.Metrics()
		u.announcements += counterValue(r, peer.CounterAnnounce)
		u.antiEntropy += counterValue(r, peer.CounterAntiEntropy)
		u.deltas += counterValue(r, peer.CounterPullDelta)
		u.wholes += counterValue(r, peer.CounterPullWhole)
	}
	a, r := f.source.Calls()
	u.sourceCalls, u.refusedCalls = float64(a), float64(r)
	return u
}

// counterValue returns the value of the counter n in r.
func counterValue(r metrics.Registry, n string) float64 {
	return float64(metrics.GetOrRegisterCounter(n, r).Count())
}

// processorTime returns the user and system time of this process so far.
func processorTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// heapBytes returns the bytes of live heap objects and of stacks.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// residentBytes returns the process's resident memory, or 0 if it can't be read.
func residentBytes() float64 {
	b, e := os.ReadFile("/proc/self/statm")
	if e != nil {
		return 0
	}
	a := strings.Fields(string(b))
	if len(a) < 2 {
		return 0
	}
	n, e := strconv.ParseFloat(a[1], 64)
	if e != nil {
		return 0
	}
	return n * float64(os.Getpagesize())
}
