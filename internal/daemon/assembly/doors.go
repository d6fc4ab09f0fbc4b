package assembly

import (
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
	policy "github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// limitLogInterval is the least time between two log lines about the limits of one
// address.
const limitLogInterval = 10 * time.Second

// doors holds the clients of the daemon's addresses.
type doors struct {
	callers, peers, operators, metrics *policy.ClientTable
}

// newDoors returns the tables with the limits of the settings.
func newDoors(d *Daemon) *doors {
	f := &d.config
	l := policy.NewDoorLimits(f.Descriptors, f.Connections, f.Memory)
	set(&l.Callers.Connections, f.CallerConnections)
	set(&l.Peers.Connections, f.PeerConnections)
	set(&l.Operators.Connections, f.OperatorConnections)
	set(&l.Callers.Memory, f.HeadMemory)
	set(&l.Peers.Memory, f.CallMemory)
	l.Callers.AddressConnections = f.AddressConnections
	r := &doors{
		callers: newDoor(d, "Caller", l.Callers), peers: newDoor(d, "Peer", l.Peers),
		operators: newDoor(d, "Operator", l.Operators), metrics: newDoor(d, "Metrics", l.Operators),
	}
	r.callers.Pair(r.peers)
	return r
}

// set sets *a to b unless that is zero.
func set[T lavenderridge.Connections | lavenderridge.ByteCount](a *T, b T) {
	if b != 0 {
		*a = b
	}
}

// newDoor returns the table of the address n with the limits l. It logs at a bounded rate
// that a limit has been met.
func newDoor(d *Daemon, n string, l policy.ClientLimits) *policy.ClientTable {
	var t *policy.ClientTable
	var x atomic.Int64 // when the next line may be logged, in Unix nanoseconds
	t = policy.NewClientTable(l, func() {
		v, m := x.Load(), d.clock.Now()
		if m.UnixNano() < v || !x.CompareAndSwap(v, m.Add(limitLogInterval).UnixNano()) {
			return
		}
		d.log.Warn("ClientLimit", zap.String("Address", n), zap.Int64("Closed", t.Closed()), zap.Int64("Refused", t.Refused()))
	})
	g := func(k string, f func() int64) { metrics.NewRegisteredFunctionalGauge(n+k, d.metrics, f) }
	g("Connections", func() int64 { return int64(t.Connections()) })
	g("ClientsClosed", t.Closed)
	g("ClientsRefused", t.Refused)
	g("ClientMemoryBytes", func() int64 { return int64(t.Used()) })
	return t
}
