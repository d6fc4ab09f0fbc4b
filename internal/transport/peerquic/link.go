package peerquic

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/lavenderridge/lavenderridge"
)

// link is the client's side of the connection to one daemon. All times are
// since the transport's start.
type link struct {
	transport *Transport
	instance  lavenderridge.InstanceID
	address   lavenderridge.Address

	connection atomic.Pointer[quic.Conn]
	dialling   atomic.Pointer[dial]
	// failures counts the dials that failed without a success between them.
	failures atomic.Int32
	calls    atomic.Int64
	// heard is when the last reply came, or when the first of the running
	// calls began.
	heard   atomic.Int64
	probing atomic.Bool
}

var _ lavenderridge.Peer = (*link)(nil)

func newLink(t *Transport, n lavenderridge.InstanceID, a lavenderridge.Address) *link {
	return &link{transport: t, instance: n, address: a}
}

// Handle implements lavenderridge.Handler.
func (l *link) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	var w wireResponse
	if e := l.call(c, kindHandle, newWireRequest(r, time.Now()), &w); e != nil {
		return nil, e
	}
	return w.response(l.instance), nil
}

// Exchange implements lavenderridge.Peer.
func (l *link) Exchange(c context.Context, q *lavenderridge.Exchange) (*lavenderridge.Exchange, error) {
	return ask[lavenderridge.Exchange](c, l, kindExchange, q)
}

// Pull implements lavenderridge.Peer.
func (l *link) Pull(c context.Context, q *lavenderridge.PullRequest) (*lavenderridge.PullReply, error) {
	return ask[lavenderridge.PullReply](c, l, kindPull, q)
}

// Activate implements lavenderridge.Peer.
func (l *link) Activate(c context.Context, q *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	return l.activate(c, q)
}

// HandOver implements lavenderridge.Peer.
func (l *link) HandOver(c context.Context, q *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	return l.handOver(c, q)
}

func ask[T any](c context.Context, l *link, k kind, q any) (*T, error) {
	var v T
	if e := l.call(c, k, q, &v); e != nil {
		return nil, e
	}
	return &v, nil
}

func (l *link) call(c context.Context, k kind, q, v any) error {
	b, e := encode(byte(k), q)
	if e != nil {
		return l.refusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonInternal, e)
	}
	l.begin()
	defer l.end()
	s, e := l.open(c)
	if e != nil {
		return l.refusal(lavenderridge.OutcomeNotRun, ended(c, lavenderridge.ReasonUnreachable), e)
	}
	f := context.AfterFunc(c, func() { cancel(s) })
	defer f()
	if e := send(s, b); e != nil {
		return l.refusal(lavenderridge.OutcomeNotRun, ended(c, lavenderridge.ReasonUnreachable), e)
	}
	p, e := receive(s, l.transport.maxMessage, l.hear)
	if e != nil {
		return l.lost(c, e)
	}
	l.hear()
	l.transport.traffic.call(k, len(b), len(p))
	return l.reply(p, v)
}

func (l *link) begin() {
	if l.calls.Add(1) == 1 {
		l.hear()
	}
}

func (l *link) end() {
	l.calls.Add(-1)
}

func (l *link) hear() {
	l.heard.Store(int64(l.transport.now()))
}

// open returns a stream on the current connection, or on a new one when there
// is none that works or when it has just ended.
func (l *link) open(c context.Context) (*quic.Stream, error) {
	n, e := l.connect(c)
	if e != nil {
		return nil, e
	}
	s, e := n.OpenStreamSync(c)
	if e == nil || c.Err() != nil {
		return s, e
	}
	// A connection refuses streams a moment before its context ends.
	l.connection.CompareAndSwap(n, nil)
	if n, e = l.connect(c); e != nil {
		return nil, e
	}
	return n.OpenStreamSync(c)
}

// connect returns the current connection, or waits for a new one that all
// waiting calls share. Each waits no longer than its own context.
func (l *link) connect(c context.Context) (*quic.Conn, error) {
	for {
		if n := l.connection.Load(); n != nil && n.Context().Err() == nil {
			return n, nil
		}
		d := l.dialling.Load()
		if d == nil {
			d = newDial()
			if !l.dialling.CompareAndSwap(nil, d) {
				continue
			}
			l.transport.work.Go(func() { l.dial(d) })
		}
		return d.wait(c)
	}
}

// dial opens a connection under the transport's context and publishes it.
func (l *link) dial(d *dial) {
	n, e := l.transport.dial(l.instance, l.address, l.patience(), l.failures.Load() > 0)
	if e != nil {
		l.failures.Add(1)
	} else {
		l.failures.Store(0)
		l.connection.Store(n)
	}
	l.dialling.Store(nil)
	d.finish(n, e)
}

// patience returns the bound of the next dial, shorter after a failure.
func (l *link) patience() time.Duration {
	if l.failures.Load() > 0 {
		return redialTimeout
	}
	return dialTimeout
}

func (l *link) reply(b []byte, v any) error {
	if status(b[0]) != statusRefusal {
		if e := decode(b[1:], v); e != nil {
			return l.refusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, e)
		}
		return nil
	}
	var w wireRefusal
	if e := decode(b[1:], &w); e != nil {
		return l.refusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, e)
	}
	if w.Refusal.Place == "" {
		w.Refusal.Place = l.instance
	}
	return &w.Refusal
}

// lost returns the refusal of a call whose reply did not come whole. A server
// that refuses the client's certificate has read no stream.
func (l *link) lost(c context.Context, e error) error {
	var t *quic.TransportError
	if errors.As(e, &t) && t.Remote && t.ErrorCode.IsCryptoError() {
		l.transport.counters.tlsRefused.Inc(1)
		return l.refusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonUnreachable, e)
	}
	return l.refusal(lavenderridge.OutcomeUnknown, ended(c, lavenderridge.ReasonConnectionLost), e)
}

// refusal returns a refusal by this daemon; its place is left open, because
// the peer did not say it.
func (l *link) refusal(o lavenderridge.Outcome, r lavenderridge.Reason, e error) error {
	return lavenderridge.NewRefusal(o, r, string(l.instance)+": "+e.Error())
}

// ended returns the reason for which c ended, or r while it goes on.
func ended(c context.Context, r lavenderridge.Reason) lavenderridge.Reason {
	switch {
	case errors.Is(c.Err(), context.DeadlineExceeded):
		return lavenderridge.ReasonDeadline
	case c.Err() != nil:
		return lavenderridge.ReasonCancelled
	}
	return r
}
