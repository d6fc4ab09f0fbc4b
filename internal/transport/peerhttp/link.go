package peerhttp

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// callURL names no host: each connection leads to one daemon.
const callURL = "https://daemon/"

// link is the client's side of the connection to one daemon. All times are
// since the transport's start.
type link struct {
	transport *Transport
	instance  lavenderridge.InstanceID
	address   lavenderridge.Address

	connection atomic.Pointer[connection]
	dialling   atomic.Pointer[dial]
	// failures counts the dials that failed without a success between them.
	failures atomic.Int32
	calls    atomic.Int64
	// begun is when the first of the running calls began.
	begun   atomic.Int64
	probing atomic.Bool
}

var _ lavenderridge.Peer = (*link)(nil)

func newLink(t *Transport, n lavenderridge.InstanceID, a lavenderridge.Address) *link {
	l := &link{transport: t, instance: n, address: a}
	l.begun.Store(int64(t.now()))
	return l
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
	p, o, e := l.exchange(c, b)
	switch {
	case e == nil:
	case o:
		return l.refusal(lavenderridge.OutcomeUnknown, ended(c, lavenderridge.ReasonConnectionLost), e)
	default:
		return l.refusal(lavenderridge.OutcomeNotRun, ended(c, lavenderridge.ReasonUnreachable), e)
	}
	l.transport.traffic.call(k, len(b), len(p))
	return l.reply(p, v)
}

// exchange sends the message b and returns the reply. With an error it tells
// whether the peer may have read the message to its end.
func (l *link) exchange(c context.Context, b []byte) ([]byte, bool, error) {
	n, e := l.connect(c)
	if e != nil {
		return nil, false, e
	}
	p, o, e := l.post(c, n, b)
	if e == nil || o || c.Err() != nil {
		return p, o, e
	}
	// The connection ended before it took the message.
	l.connection.CompareAndSwap(n, nil)
	if n, e = l.connect(c); e != nil {
		return nil, false, e
	}
	return l.post(c, n, b)
}

// post sends the message b over the connection n.
func (l *link) post(c context.Context, n *connection, b []byte) ([]byte, bool, error) {
	o := newOutgoing(b)
	q, e := http.NewRequestWithContext(c, http.MethodPost, callURL, o)
	if e != nil {
		return nil, false, e
	}
	q.ContentLength = int64(len(b))
	p, e := n.http.RoundTrip(q)
	if e != nil {
		return nil, o.taken.Load(), e
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusOK {
		return nil, true, fmt.Errorf("status %d", p.StatusCode)
	}
	v, e := receive(p.Body, l.transport.maxMessage)
	return v, true, e
}

func (l *link) begin() {
	if l.calls.Add(1) == 1 {
		l.begun.Store(int64(l.transport.now()))
	}
}

func (l *link) end() {
	l.calls.Add(-1)
}

// connect returns the current connection, or waits for a new one that all
// waiting calls share. Each waits no longer than its own context.
func (l *link) connect(c context.Context) (*connection, error) {
	for {
		if n := l.connection.Load(); n != nil && n.http.CanTakeNewRequest() {
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
	n, e := l.transport.dial(l, l.patience())
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
