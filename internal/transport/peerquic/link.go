package peerquic

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/lavenderridge/lavenderridge"
)

// link is the client's side of the connection to one daemon.
type link struct {
	transport *Transport
	instance  lavenderridge.InstanceID
	address   lavenderridge.Address

	connection atomic.Pointer[quic.Conn]
	dialMutex  sync.Mutex
}

var _ lavenderridge.Peer = (*link)(nil)

func newLink(t *Transport, n lavenderridge.InstanceID, a lavenderridge.Address) *link {
	return &link{transport: t, instance: n, address: a}
}

// Handle implements lavenderridge.Handler.
func (l *link) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	var p lavenderridge.Response
	if e := l.call(c, kindHandle, newWireRequest(r), &p); e != nil {
		return nil, e
	}
	if p.ID != r.ID || p.Attempt != r.Attempt {
		return nil, l.refusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, "the reply is for another request")
	}
	return &p, nil
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
		return l.refusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonInternal, e.Error())
	}
	s, e := l.open(c)
	if e != nil {
		return l.refusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonUnreachable, e.Error())
	}
	f := context.AfterFunc(c, func() { cancel(s) })
	defer f()
	if e := send(s, b); e != nil {
		return l.refusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonUnreachable, e.Error())
	}
	p, e := receive(s, l.transport.maxMessage)
	if e != nil {
		return l.lost(c, e)
	}
	return l.reply(p, v)
}

// open returns a stream on the current connection, or on a new one when there
// is none that works.
func (l *link) open(c context.Context) (*quic.Stream, error) {
	n, e := l.connect(c)
	if e != nil {
		return nil, e
	}
	return n.OpenStreamSync(c)
}

func (l *link) connect(c context.Context) (*quic.Conn, error) {
	if n := l.connection.Load(); n != nil && n.Context().Err() == nil {
		return n, nil
	}
	l.dialMutex.Lock()
	defer l.dialMutex.Unlock()
	if n := l.connection.Load(); n != nil && n.Context().Err() == nil {
		return n, nil
	}
	n, e := l.transport.dial(c, l.instance, l.address)
	if e != nil {
		return nil, e
	}
	l.connection.Store(n)
	return n, nil
}

// send writes the whole message and ends the stream's sending side. After an
// error the server can't have read the message to its end.
func send(s *quic.Stream, b []byte) error {
	if _, e := s.Write(b); e != nil {
		cancel(s)
		return e
	}
	return s.Close()
}

func receive(s *quic.Stream, n lavenderridge.ByteCount) ([]byte, error) {
	b, e := io.ReadAll(io.LimitReader(s, int64(n)+1))
	if e != nil {
		return nil, e
	}
	if lavenderridge.ByteCount(len(b)) > n {
		cancel(s)
		return nil, errors.New("message too large")
	}
	if len(b) == 0 {
		return nil, errors.New("empty message")
	}
	return b, nil
}

func cancel(s *quic.Stream) {
	s.CancelRead(codeCancelled)
	s.CancelWrite(codeCancelled)
}

func (l *link) reply(b []byte, v any) error {
	if status(b[0]) == statusRefusal {
		var w wireRefusal
		if e := decode(b[1:], &w); e != nil {
			return l.refusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, e.Error())
		}
		return &w.Refusal
	}
	if e := decode(b[1:], v); e != nil {
		return l.refusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, e.Error())
	}
	return nil
}

func (l *link) lost(c context.Context, e error) error {
	r := lavenderridge.ReasonConnectionLost
	switch {
	case errors.Is(c.Err(), context.DeadlineExceeded):
		r = lavenderridge.ReasonDeadline
	case c.Err() != nil:
		r = lavenderridge.ReasonCancelled
	}
	return l.refusal(lavenderridge.OutcomeUnknown, r, e.Error())
}

func (l *link) refusal(o lavenderridge.Outcome, r lavenderridge.Reason, d string) error {
	f := lavenderridge.NewRefusal(o, r, d)
	f.Place = l.instance
	return f
}
