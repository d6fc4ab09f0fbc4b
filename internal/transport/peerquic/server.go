package peerquic

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
)

// A Server answers the calls of other daemons.
type Server struct {
	transport *Transport
	peer      lavenderridge.Peer
	calls     sync.WaitGroup
}

// NewServer returns a server that passes the calls on t to the peer p.
func NewServer(t *Transport, p lavenderridge.Peer) *Server {
	return &Server{transport: t, peer: p}
}

// Serve accepts connections until c ends and then waits for running calls.
func (s *Server) Serve(c context.Context) error {
	l, e := s.transport.quic.Listen(s.transport.keys.Server(protocol), quicConfig())
	if e != nil {
		return fmt.Errorf("peerquic: listen: %w", e)
	}
	defer s.calls.Wait()
	defer func() { _ = l.Close() }()
	for {
		n, e := l.Accept(c)
		if e != nil {
			return acceptError(c, e)
		}
		s.calls.Go(func() { s.serveConnection(c, n) })
	}
}

func acceptError(c context.Context, e error) error {
	if c.Err() != nil || errors.Is(e, quic.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("peerquic: accept: %w", e)
}

func (s *Server) serveConnection(c context.Context, n *quic.Conn) {
	defer func() { _ = n.CloseWithError(codeClosed, "") }()
	i, e := s.transport.keys.Verify(n.ConnectionState().TLS)
	if e != nil {
		return
	}
	var w sync.WaitGroup
	defer w.Wait()
	for {
		t, e := n.AcceptStream(c)
		if e != nil {
			return
		}
		w.Go(func() { s.serveStream(t, i) })
	}
}

func (s *Server) serveStream(t *quic.Stream, i peertls.Identity) {
	b, e := receive(t, s.transport.maxMessage)
	if e != nil {
		cancel(t)
		return
	}
	v, e := s.dispatch(t.Context(), kind(b[0]), b[1:], i)
	k := byte(statusReply)
	if e != nil {
		k, v = byte(statusRefusal), &wireRefusal{Refusal: *lavenderridge.AsRefusal(e)}
	}
	p, e := encode(k, v)
	if e != nil {
		cancel(t)
		return
	}
	_ = send(t, p)
}

func (s *Server) dispatch(c context.Context, k kind, b []byte, i peertls.Identity) (any, error) {
	switch k {
	case kindHandle:
		return s.handle(c, b, i)
	case kindExchange:
		return answer(c, b, i, s.peer.Exchange, func(q *lavenderridge.Exchange) *lavenderridge.Sender { return &q.Sender })
	case kindPull:
		return answer(c, b, i, s.peer.Pull, func(q *lavenderridge.PullRequest) *lavenderridge.Sender { return &q.Sender })
	case kindActivate:
		return answer(c, b, i, s.activate, func(q *lavenderridge.ActivationRequest) *lavenderridge.Sender { return &q.Sender })
	case kindHandOver:
		return answer(c, b, i, s.handOver, func(q *wireHandOver) *lavenderridge.Sender { return &q.HandOver.Sender })
	default:
		return nil, notRun(fmt.Sprintf("unknown call %d", k))
	}
}

func (s *Server) handle(c context.Context, b []byte, i peertls.Identity) (any, error) {
	var w wireRequest
	if e := decode(b, &w); e != nil {
		return nil, notRun(e.Error())
	}
	r := w.request(time.Now())
	if e := checkSender(&r.Sender, i); e != nil {
		return nil, e
	}
	if r.Deadline.IsZero() {
		return s.peer.Handle(c, r)
	}
	c, f := context.WithDeadline(c, r.Deadline)
	defer f()
	return s.peer.Handle(c, r)
}

func answer[Q, V any](c context.Context, b []byte, i peertls.Identity, f func(context.Context, *Q) (*V, error), s func(*Q) *lavenderridge.Sender) (any, error) {
	var q Q
	if e := decode(b, &q); e != nil {
		return nil, notRun(e.Error())
	}
	if e := checkSender(s(&q), i); e != nil {
		return nil, e
	}
	return f(c, &q)
}

// checkSender refuses a message in another instance's name.
func checkSender(s *lavenderridge.Sender, i peertls.Identity) error {
	if s.Instance != i.Instance || s.DataCentre != i.DataCentre {
		return notRun(fmt.Sprintf("message in the name of %q with the certificate of %q", s.Instance, i.Instance))
	}
	return nil
}

func notRun(d string) error {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonInternal, d)
}
