package link

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	tcpBuffer = 32 << 10
	// retransmitPeriod is the time between two checks whether a cut has ended. It
	// simulates the retransmissions of TCP.
	retransmitPeriod = 20 * time.Millisecond
)

// A TCP forwards connections to a target. A flow is one connection of a client
// with its connection to the target; a half-open flow stays open at both ends.
type TCP struct {
	flowGate
	listener   net.Listener
	target     lavenderridge.Address
	context    context.Context
	goroutines sync.WaitGroup
	flows      sync.Map // from the net.Conn of the client to that of the target
}

// NewTCP returns a link on loopback to the target a. It runs until c ends.
func NewTCP(c context.Context, a lavenderridge.Address) (*TCP, error) {
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		return nil, fmt.Errorf("link: %w", e)
	}
	t := &TCP{listener: l, target: a, context: c}
	context.AfterFunc(c, func() { _ = l.Close() })
	t.goroutines.Go(t.accept)
	return t, nil
}

// Address returns the address at which the link accepts connections.
func (t *TCP) Address() lavenderridge.Address {
	return lavenderridge.Address(t.listener.Addr().String())
}

// Wait returns when the link has stopped and all its flows are closed.
func (t *TCP) Wait() {
	t.goroutines.Wait()
}

// Reset closes all present flows with a TCP reset at both ends.
func (t *TCP) Reset() {
	t.flows.Range(func(a, b any) bool {
		reset(a.(net.Conn))
		reset(b.(net.Conn))
		return true
	})
}

func reset(n net.Conn) {
	if v, o := n.(*net.TCPConn); o {
		_ = v.SetLinger(0)
	}
	_ = n.Close()
}

func (t *TCP) accept() {
	for {
		n, e := t.listener.Accept()
		if e != nil {
			return
		}
		t.goroutines.Go(func() { t.serve(n) })
	}
}

// serve forwards the bytes of the connection n until either end closes it.
func (t *TCP) serve(n net.Conn) {
	defer func() { _ = n.Close() }()
	g := t.generation.Load()
	// A connection that begins during a cut hangs, as its SYN packet is lost until
	// the cut ends.
	for t.cut[ToTarget].Load() || t.cut[FromTarget].Load() {
		if lavenderridge.Sleep(t.context, retransmitPeriod) != nil {
			return
		}
	}
	var d net.Dialer
	m, e := d.DialContext(t.context, "tcp", string(t.target))
	if e != nil {
		return
	}
	defer func() { _ = m.Close() }()
	t.flows.Store(n, m)
	defer t.flows.Delete(n)
	// A connection closed at one end is closed at the other too, unless the flow is
	// cut or half-open.
	c, f := context.WithCancel(t.context)
	defer f()
	var w sync.WaitGroup
	for i, p := range [][2]net.Conn{{n, m}, {m, n}} {
		w.Go(func() {
			t.copy(p[0], p[1], g, Direction(i))
			if t.passes(g, Direction(i)) {
				f()
			}
		})
	}
	<-c.Done()
	_, _ = n.Close(), m.Close()
	w.Wait()
}

// copy copies bytes from a to b for a flow of the generation g. Bytes that arrive
// during a cut are forwarded after its end, as TCP would retransmit them; the
// bytes of a half-open flow are dropped.
func (t *TCP) copy(a, b net.Conn, g int64, d Direction) {
	p := make([]byte, tcpBuffer)
	for {
		n, e := a.Read(p)
		if e != nil {
			return
		}
		if lavenderridge.Sleep(t.context, time.Duration(t.delay.Load())) != nil {
			return
		}
		for t.cut[d].Load() {
			if lavenderridge.Sleep(t.context, retransmitPeriod) != nil {
				return
			}
		}
		if !t.passes(g, d) {
			continue
		}
		if _, e := b.Write(p[:n]); e != nil {
			return
		}
	}
}
