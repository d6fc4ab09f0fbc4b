package peerhttp

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net/http"
	"strconv"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
	"golang.org/x/net/http2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

// shutdownTimeout bounds the end of the last replies when the server stops.
const shutdownTimeout = 2 * time.Second

// A Server answers the calls of other daemons.
type Server struct {
	transport *Transport
	peer      lavenderridge.Peer
	http      *kratoshttp.Server
	stopper   *plainhttp.Stopper
	activity  activity
	// sent is told of each response that has been written.
	sent func(lavenderridge.ByteCount)
}

// NewServer returns a server that passes the calls on t to the peer p. It calls f
// with the size of the body of each response that p has given, once that was
// written or can't be.
func NewServer(t *Transport, p lavenderridge.Peer, f func(lavenderridge.ByteCount)) *Server {
	s := &Server{transport: t, peer: p, sent: f}
	s.http = kratoshttp.NewServer(
		kratoshttp.Listener(t.listener),
		kratoshttp.Address(string(t.Address())),
		kratoshttp.Timeout(0),
		kratoshttp.TLSConfig(s.tlsConfig()),
		kratoshttp.Filter(func(http.Handler) http.Handler { return http.HandlerFunc(s.serve) }),
	)
	s.stopper = plainhttp.NewStopper(s.http)
	s.http.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, SendPingTimeout: idleTimeout, PingTimeout: dialTimeout, WriteByteTimeout: writeTimeout,
	}
	s.http.ReadHeaderTimeout = dialTimeout
	s.http.ErrorLog = log.New(countingWriter{lines: t.counters.serverErrors}, "", 0)
	return s
}

// Serve accepts connections until c ends. It answers running calls, and those
// that still come, until none has come for a short time.
func (s *Server) Serve(c context.Context) error {
	x := context.WithoutCancel(c)
	f := make(chan error, 1)
	go func() { f <- s.http.Start(x) }()
	select {
	case e := <-f:
		return serveError(e)
	case <-c.Done():
	}
	s.activity.quiet(x)
	x, n := context.WithTimeout(x, shutdownTimeout)
	defer n()
	if e := s.stopper.Stop(x, s.http); e != nil {
		return fmt.Errorf("peerhttp: stop: %w", e)
	}
	return serveError(<-f)
}

func serveError(e error) error {
	if e == nil || errors.Is(e, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("peerhttp: serve: %w", e)
}

// tlsConfig counts the connections that are refused for their certificate.
func (s *Server) tlsConfig() *tls.Config {
	t := s.transport.keys.Server(http2.NextProtoTLS)
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

// serve answers one call. A call that did not arrive whole gets no reply.
func (s *Server) serve(w http.ResponseWriter, q *http.Request) {
	i, e := s.transport.keys.Verify(*q.TLS)
	if e != nil {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	b, e := receive(q.Body, s.transport.maxMessage)
	if e != nil {
		panic(http.ErrAbortHandler)
	}
	// A call counts once it is whole: one on a silent connection never will be.
	s.activity.begin()
	defer s.activity.end()
	p, n, e := s.answer(q.Context(), b, i)
	defer func() { s.sent(n) }()
	if e != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	w.Header().Set("Content-Length", strconv.Itoa(len(p)))
	// A reply that can't be written is one that the caller does not wait for.
	_, _ = w.Write(p)
}

// answer returns the reply to the message b of the daemon i, and the size of the
// body of the response in it.
func (s *Server) answer(c context.Context, b []byte, i peertls.Identity) ([]byte, lavenderridge.ByteCount, error) {
	v, e := s.dispatch(c, kind(b[0]), b[1:], i)
	if e != nil {
		p, e := encode(byte(statusRefusal), &wireRefusal{Refusal: *lavenderridge.AsRefusal(e)})
		return p, 0, e
	}
	var n lavenderridge.ByteCount
	if w, o := v.(*wireResponse); o {
		n = lavenderridge.ByteCount(len(w.Body))
	}
	p, e := encode(byte(statusReply), v)
	return p, n, e
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
