package peerhttp

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"strconv"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
	"golang.org/x/net/http2"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/transport/peertls"
	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

// shutdownTimeout bounds how long a stopping server waits until its last replies
// are written.
const shutdownTimeout = 2 * time.Second

// A Server handles the calls of other daemons.
type Server struct {
	transport *Transport
	peer      lavenderridge.Peer
	http      *kratoshttp.Server
	stopper   *plainhttp.Stopper
	activity  activity
	// onSent is called with the size of each response body that has been written.
	onSent  func(lavenderridge.ByteCount)
	clients *operator.ClientTable
}

// NewServer returns a server that passes the calls received by t to the peer p.
// After each call, when the reply has been written or its write has failed, it
// calls f with the size of the response body, which is 0 if there is no response.
func NewServer(t *Transport, p lavenderridge.Peer, f func(lavenderridge.ByteCount)) *Server {
	s := &Server{transport: t, peer: p, onSent: f, clients: t.clients}
	l := plainhttp.NewListener(t.listener, s.clients, nil, 0)
	s.http = kratoshttp.NewServer(
		kratoshttp.Listener(l),
		kratoshttp.Address(string(t.Address())),
		kratoshttp.Timeout(0),
		kratoshttp.TLSConfig(s.tlsConfig()),
		kratoshttp.Filter(func(http.Handler) http.Handler { return http.HandlerFunc(s.serveHTTP) }),
	)
	s.stopper = plainhttp.NewStopper(s.http, l)
	s.http.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, SendPingTimeout: idleTimeout, PingTimeout: dialTimeout, WriteByteTimeout: writeTimeout,
	}
	s.http.ReadHeaderTimeout = dialTimeout
	s.http.MaxHeaderBytes = maxCallHeader
	s.http.Protocols = &http.Protocols{}
	s.http.Protocols.SetHTTP2(true)
	s.http.ConnContext = func(c context.Context, n net.Conn) context.Context {
		c = context.WithValue(c, clientKey{}, clientOf(n))
		return context.WithValue(c, verifiedPeerKey{}, &peertls.VerifiedPeer{})
	}
	s.http.ErrorLog = log.New(countingWriter{lines: t.counters.serverErrors}, "", 0)
	return s
}

// Serve accepts connections until c ends. It then completes the running calls, and
// handles new ones until none has arrived for a short time.
func (s *Server) Serve(c context.Context) error {
	x := context.WithoutCancel(c)
	f := make(chan error, 1)
	go func() { f <- s.http.Start(x) }()
	select {
	case e := <-f:
		return serveError(e)
	case <-c.Done():
	}
	s.activity.waitIdle(x)
	v, n := context.WithTimeout(x, shutdownTimeout)
	defer n()
	if e := s.stopper.Stop(v, s.http); e != nil {
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

// tlsConfig returns TLS settings that count the connections refused because of
// the peer's certificate.
func (s *Server) tlsConfig() *tls.Config {
	t := s.transport.keys.ServerConfig(http2.NextProtoTLS)
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

// verifiedPeerKey is the context key of the peertls.VerifiedPeer of a connection.
type verifiedPeerKey struct{}

// verifiedPeer returns the VerifiedPeer of the connection of a call with the context c.
func verifiedPeer(c context.Context) *peertls.VerifiedPeer {
	v, _ := c.Value(verifiedPeerKey{}).(*peertls.VerifiedPeer)
	return v
}

// clientKey is the context key of the operator.Client of a connection.
type clientKey struct{}

// clientOf returns the client of the encrypted connection n.
func clientOf(n net.Conn) *operator.Client {
	t, o := n.(*tls.Conn)
	if !o {
		return nil
	}
	v, _ := t.NetConn().(*plainhttp.Conn)
	return v.Client()
}

// serveHTTP handles one call if there is memory for it. A call of a daemon that holds
// more than it may is refused.
func (s *Server) serveHTTP(w http.ResponseWriter, q *http.Request) {
	k, _ := q.Context().Value(clientKey{}).(*operator.Client)
	if !k.Hold(callMemory, time.Now()) {
		refuseCall(w, k)
		return
	}
	defer k.Release(callMemory)
	s.serveCall(w, q, k)
	// The library writes a small reply after its handler has returned. The further frame
	// that Flush costs is spared while the client is known to take its replies.
	if k.Answered() && http.NewResponseController(w).Flush() == nil {
		k.Taken(time.Now())
	}
}

// refuseCall refuses a call of the client k for which there is no memory. If k doesn't
// take its refusals, the stream is reset.
func refuseCall(w http.ResponseWriter, k *operator.Client) {
	if k.Answered() {
		panic(http.ErrAbortHandler)
	}
	writeReply(w, encodeRefusal(newOverloaded()))
}

// newOverloaded returns the refusal of a call for which there is no memory.
func newOverloaded() *lavenderridge.Refusal {
	r := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonOverloaded, "the calls of daemons need too much memory")
	r.RetryAfter = memoryRetryAfter
	return r
}

// receiveCall reads the call q of the client k, with a body of b bytes. It returns what
// the call holds, also with an error.
func (s *Server) receiveCall(q *http.Request, b int64, k *operator.Client) (*frame, lavenderridge.ByteCount, error) {
	var n lavenderridge.ByteCount
	h := func(v lavenderridge.ByteCount) error {
		if !k.Hold(v, time.Now()) {
			return errCallMemory
		}
		n += v
		return nil
	}
	k.ReceiveBody(lavenderridge.ByteCount(b))
	defer k.EndBody(lavenderridge.ByteCount(b))
	f, e := receiveFrame(q.Body, q.ContentLength, b, s.transport.maxMessage, h)
	if e == nil && lavenderridge.ByteCount(len(f.message)) > smallMessage {
		e = h(decodedMemory(f.message[1:]))
	}
	return f, n, e
}

// serveCall handles one call of the client k. A call that did not arrive completely gets
// no reply: its stream is reset.
func (s *Server) serveCall(w http.ResponseWriter, q *http.Request, k *operator.Client) {
	i, e := verifiedPeer(q.Context()).Verify(s.transport.keys, *q.TLS, time.Now())
	if e != nil {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	b, o, e := bodySize(q.Header, q.ContentLength)
	if e != nil {
		panic(http.ErrAbortHandler)
	}
	c := q.Context()
	if o {
		a := s.transport.bodies.NewAccount()
		defer a.Close()
		if e := reserveRequest(c, a, b, k); e != nil {
			writeReply(w, encodeRefusal(e))
			return
		}
		c = operator.WithBodyAccount(c, a)
	}
	f, n, e := s.receiveCall(q, b, k)
	defer k.Release(n)
	if errors.Is(e, errCallMemory) {
		refuseCall(w, k)
		return
	}
	if e != nil {
		panic(http.ErrAbortHandler)
	}
	k.Begin()
	defer k.End()
	// A call counts as activity only when its body is complete. On a half-open
	// connection that never happens, and the call must not delay the shutdown.
	s.activity.begin()
	defer s.activity.end()
	if h := q.Header.Get(heardField); h != "" {
		c = context.WithValue(c, heardKey{}, h)
	}
	if h := q.Header.Get(customerField); h != "" {
		c = context.WithValue(c, customerTextKey{}, h)
	}
	p, v, e := s.handleMessage(c, f, o, i)
	defer func() { s.onSent(v) }()
	if e != nil {
		panic(http.ErrAbortHandler)
	}
	k.Deliver(time.Now())
	defer k.Delivered()
	writeReply(w, p)
}

// writeReply writes the reply f. That fails only if the calling daemon no longer waits
// for it.
func writeReply(w http.ResponseWriter, f *frame) {
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	if f.proof != "" {
		w.Header().Set(proofField, f.proof)
	}
	if f.following != "" {
		w.Header().Set(followingField, f.following)
	}
	w.Header().Set("Content-Length", strconv.Itoa(f.size()))
	if len(f.body) > 0 {
		w.Header().Set(bodyField, strconv.Itoa(len(f.body)))
	}
	if _, e := w.Write(f.message); e != nil {
		return
	}
	_, _ = w.Write(f.body)
}

// handleMessage runs the call f from the daemon i. It returns the encoded reply and the
// size of the response body in it. A large body follows the reply if o is set.
func (s *Server) handleMessage(c context.Context, f *frame, o bool, i peertls.Identity) (*frame, lavenderridge.ByteCount, error) {
	v, e := s.dispatch(c, f, i)
	if e != nil {
		return encodeRefusal(e), 0, nil
	}
	var n lavenderridge.ByteCount
	p := &frame{}
	if w, k := v.(*wireResponse); k {
		n = lavenderridge.ByteCount(len(w.Body))
		if o && n >= minFramedBody {
			p.body, w.Body = w.Body, nil
		}
	}
	if x, k := v.(*lavenderridge.Exchange); k {
		p.proof, p.following = encodeProof(x.Proof), encodeFollowing(x.Following)
	}
	p.message, e = encode(byte(statusReply), v)
	return p, n, e
}

// encodeRefusal returns the reply with the refusal e.
func encodeRefusal(e error) *frame {
	b, x := encode(byte(statusRefusal), &wireRefusal{Refusal: *lavenderridge.AsRefusal(e)})
	if x != nil {
		panic(x)
	}
	return &frame{message: b}
}

// dispatch decodes the arguments of the call f, runs it and returns the value to encode
// as its reply.
func (s *Server) dispatch(c context.Context, f *frame, i peertls.Identity) (any, error) {
	k, b := kind(f.message[0]), f.message[1:]
	switch k {
	case kindHandle:
		return s.handleRequest(c, b, f.body, i)
	case kindExchange:
		return callPeer(c, b, i, s.peer.Exchange, func(q *lavenderridge.Exchange) *lavenderridge.Sender { return &q.Sender })
	case kindPull:
		return callPeer(c, b, i, s.peer.Pull, func(q *lavenderridge.PullRequest) *lavenderridge.Sender { return &q.Sender })
	case kindActivate:
		return callPeer(c, b, i, s.activate, func(q *lavenderridge.ActivationRequest) *lavenderridge.Sender { return &q.Sender })
	case kindHandOver:
		return callPeer(c, b, i, s.handOver, func(q *wireHandOver) *lavenderridge.Sender { return &q.HandOver.Sender })
	case kindBorrow:
		return s.borrow(c, b, lavenderridge.Sender{Instance: i.Instance, DataCentre: i.DataCentre})
	default:
		return nil, newNotRun(fmt.Sprintf("unknown kind of call %d", k))
	}
}

// handleRequest runs the request in b from the daemon i. Its body is d, unless that is
// empty.
func (s *Server) handleRequest(c context.Context, b, d []byte, i peertls.Identity) (any, error) {
	var w wireRequest
	if e := decode(b, &w); e != nil {
		return nil, newNotRun(e.Error())
	}
	if len(d) > 0 {
		w.Body = d
	}
	r := w.request(lavenderridge.Sender{Instance: i.Instance, DataCentre: i.DataCentre}, time.Now())
	var e error
	r.Heard = heard(c)
	if r.Customer, e = customer(c); e != nil {
		return nil, newNotRun(e.Error())
	}
	if !r.Deadline.IsZero() {
		x, f := context.WithDeadline(c, r.Deadline)
		defer f()
		c = x
	}
	p, e := s.peer.Handle(c, r)
	if e != nil {
		return nil, e
	}
	return newWireResponse(p), nil
}

// callPeer decodes a Q from b and passes it to f if its sender, which s returns, is
// the daemon i.
func callPeer[Q, V any](c context.Context, b []byte, i peertls.Identity, f func(context.Context, *Q) (*V, error), s func(*Q) *lavenderridge.Sender) (any, error) {
	var q Q
	if e := decode(b, &q); e != nil {
		return nil, newNotRun(e.Error())
	}
	if e := checkSender(s(&q), i); e != nil {
		return nil, e
	}
	return f(c, &q)
}

// checkSender refuses a message whose sender is not the daemon that the
// certificate identifies.
func checkSender(s *lavenderridge.Sender, i peertls.Identity) error {
	if s.Instance != i.Instance || s.DataCentre != i.DataCentre {
		return newNotRun(fmt.Sprintf("message from sender %q does not match the certificate of %q", s.Instance, i.Instance))
	}
	return nil
}

// newNotRun returns a refusal with the outcome NotRun and the detail d.
func newNotRun(d string) error {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonInternal, d)
}
