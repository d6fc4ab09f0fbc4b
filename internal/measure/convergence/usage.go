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

// headerBytes are those of an IPv4 and a TCP header, without options.
const headerBytes = 40

// usage is what a fleet has used up to a moment.
type usage struct {
	time          time.Time
	sent          float64
	exchanges     float64
	pulls         float64
	calls         float64
	refused       float64
	processor     time.Duration
	announcements float64
	antiEntropy   float64
	deltas        float64
	wholes        float64
}

func (f *fleet) usage() usage {
	u := usage{time: time.Now(), processor: processorTime()}
	for _, d := range f.daemons {
		c := d.PeerTraffic()
		b, n := c.Sent()
		u.sent += float64(b) + headerBytes*float64(n)
		_, x := c.Exchanges()
		u.exchanges += float64(x)
		_, p := c.Pulls()
		u.pulls += float64(p)
		r := d.Metrics()
		u.announcements += count(r, peer.CounterAnnounce)
		u.antiEntropy += count(r, peer.CounterAntiEntropy)
		u.deltas += count(r, peer.CounterPullDelta)
		u.wholes += count(r, peer.CounterPullWhole)
	}
	a, r := f.source.Calls()
	u.calls, u.refused = float64(a), float64(r)
	return u
}

func count(r metrics.Registry, n string) float64 {
	return float64(metrics.GetOrRegisterCounter(n, r).Count())
}

func processorTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// residentBytes returns the process's resident memory.
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
