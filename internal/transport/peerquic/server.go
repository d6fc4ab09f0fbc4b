package peerquic

import (
	"context"
	"crypto/tls"
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
	// connections counts those that are being served.
	connections sync.WaitGroup
	workers     *workers
}

// NewServer returns a server that passes the calls on t to the peer p.
func NewServer(t *Transport, p lavenderridge.Peer) *Server {
	return &Server{transport: t, peer: p, workers: newWorkers()}
}

// Serve accepts connections until c ends. It answers running calls, and those
// that still come, until none has come for a short time.
func (s *Server) Serve(c context.Context) error {
	l, e := s.transport.quic.Listen(s.tlsConfig(), quicConfig())
	if e != nil {
		return fmt.Errorf("peerquic: listen: %w", e)
	}
	defer s.workers.wait.Wait()
	defer s.connections.Wait()
	defer func() { _ = l.Close() }()
	for {
		n, e := l.Accept(c)
		if e != nil {
			return acceptError(c, e)
		}
		s.connections.Go(func() { s.serveConnection(c, n) })
	}
}

// tlsConfig counts the connections that are refused for their certificate.
func (s *Server) tlsConfig() *tls.Config {
	t := s.transport.keys.Server(protocol)
	f := t.VerifyConnection
	t.VerifyConnection = func(v tls.ConnectionState) error {
		e := f(v)
		if e != nil {
			s.transport.counters.tlsRefused.Inc(1)
		}
		return e
	}
	return t
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
	a, f := context.WithCancel(n.Context())
	defer f()
	var w sync.WaitGroup
	defer w.Wait()
	var k activity
	g := context.AfterFunc(c, func() {
		k.quiet(a)
		f()
	})
	defer g()
	for {
		t, e := n.AcceptStream(a)
		if e != nil {
			return
		}
		k.begin()
		w.Add(1)
		s.workers.run(c, func() {
			defer w.Done()
			defer k.end()
			s.serveStream(t, i)
		})
	}
}

func (s *Server) serveStream(t *quic.Stream, i peertls.Identity) {
	b, e := receive(t, s.transport.maxMessage, func() {})
	if e != nil {
		cancel(t)
		return
	}
	p, e := s.answer(t.Context(), b, i)
	if e != nil {
		cancel(t)
		return
	}
	_ = send(t, p)
}

// answer returns the reply to the message b of the daemon i.
func (s *Server) answer(c context.Context, b []byte, i peertls.Identity) ([]byte, error) {
	if kind(b[0]) == kindPing {
		return []byte{byte(statusReply)}, nil
	}
	v, e := s.dispatch(c, kind(b[0]), b[1:], i)
	if e != nil {
		return encode(byte(statusRefusal), &wireRefusal{Refusal: *lavenderridge.AsRefusal(e)})
	}
	return encode(byte(statusReply), v)
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
	r := w.request(lavenderridge.Sender{Instance: i.Instance, DataCentre: i.DataCentre}, time.Now())
	if !r.Deadline.IsZero() {
		d, f := context.WithDeadline(c, r.Deadline)
		defer f()
		c = d
	}
	p, e := s.peer.Handle(c, r)
	if e != nil {
		return nil, e
	}
	return newWireResponse(p), nil
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
