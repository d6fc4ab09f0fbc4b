package callerhttp

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// defaultBodyTimeout allows a body of 1 MiB to arrive at 0.3 Mbit/s.
	defaultBodyTimeout = 30 * time.Second
	maxHeader          = 64 << 10 // bytes
	// headSlack is what a head may have beyond the limit of the header, for the request
	// line and what intermediaries add.
	headSlack = 4 * lavenderridge.Kibibyte
	// defaultSendPause is how long a caller may leave a piece of a response.
	defaultSendPause = 30 * time.Second
	// stopRetryAfter is what callers are told who arrive during a shutdown. A daemon
	// that is replaced is back about that long after it has exited.
	stopRetryAfter = time.Second
	// bodyMemoryRetryAfter is what callers are told for whose bodies there is no memory.
	bodyMemoryRetryAfter = time.Second
	// discardTimeout bounds how long the rest of a refused body may take to arrive.
	discardTimeout = 2 * time.Second
)

var errBodyMemory = errors.New("callerhttp: the bodies of requests need too much memory")

// A Server passes the requests of callers to a handler and returns its
// responses.
type Server struct {
	*kratoshttp.Server
	stopper *plainhttp.Stopper
	handler lavenderridge.Handler
	maxBody lavenderridge.ByteCount
	// bodyTimeout limits how long the body of one request may take to arrive.
	bodyTimeout   time.Duration
	protocol      lavenderridge.CallerProtocol
	callerService func() lavenderridge.ServiceID
	limits        func() lavenderridge.CallerLimits
	bodies        *operator.BodyBudget
	stopDelay     time.Duration
	stopping      atomic.Bool
	clients       *operator.ClientTable
	maxFields     int
	sendPause     time.Duration
	// drain holds the running requests. It is started when the stop delay ends.
	drain *operator.Drain
}

// NewServer returns a server on the listener l that passes requests to h and
// refuses bodies above m bytes.
func NewServer(l net.Listener, h lavenderridge.Handler, m lavenderridge.ByteCount, o ...Option) *Server {
	s := &Server{
		handler: h, maxBody: m, bodyTimeout: defaultBodyTimeout, drain: operator.NewDrain(), bodies: operator.NewBodyBudget(0),
		protocol: Protocol{}, callerService: func() lavenderridge.ServiceID { return "" },
		limits:  func() lavenderridge.CallerLimits { return lavenderridge.CallerLimits{} },
		clients: operator.NewClientTable(operator.ClientLimits{}, nil), sendPause: defaultSendPause,
	}
	for _, f := range o {
		f(s)
	}
	n := plainhttp.NewListener(l, s.clients, s.headLimits, s.sendPause)
	n.SetRefusals(s.headRefusal(lavenderridge.ReasonTooLarge, 0), s.headRefusal(lavenderridge.ReasonOverloaded, bodyMemoryRetryAfter))
	s.Server = kratoshttp.NewServer(
		kratoshttp.Listener(n),
		kratoshttp.Address(l.Addr().String()),
		kratoshttp.Timeout(0),
		// The filter handles requests before they reach the router, which would
		// rewrite their paths.
		kratoshttp.Filter(func(http.Handler) http.Handler { return http.HandlerFunc(s.serve) }),
	)
	s.stopper = plainhttp.NewStopper(s.Server, n)
	s.ReadHeaderTimeout = readHeaderTimeout
	s.IdleTimeout = idleTimeout
	// The listener refuses heads first, with the fields of the protocol.
	s.MaxHeaderBytes = 2 * maxHeader
	s.ConnContext = plainhttp.WithConn
	return s
}

// headLimits returns the limits of the head of a request.
func (s *Server) headLimits() operator.HeadLimits {
	l := operator.HeadLimits{Bytes: maxHeader + headSlack, Fields: s.maxFields}
	if n := s.limits().Header; n > 0 {
		l.Bytes = min(l.Bytes, n+headSlack)
	}
	return l
}

// headRefusal returns the header of the refusal of a head for the reason r. The request
// has no ID, since its head has not been read whole.
func (s *Server) headRefusal(r lavenderridge.Reason, d time.Duration) http.Header {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, r, "")
	f.RetryAfter = d
	h := lavenderridge.Header{}
	s.protocol.WriteRefusal(h, "", f)
	maps.DeleteFunc(h, func(_ string, v []string) bool { return len(v) == 1 && v[0] == "" })
	return http.Header(h)
}

func (s *Server) serve(w http.ResponseWriter, q *http.Request) {
	n := plainhttp.ConnOf(q.Context())
	n.HeadRead()
	r, e := s.newRequest(q, time.Now())
	if e != nil {
		s.refuseUnread(w, r.ID, lavenderridge.AsRefusal(e))
		return
	}
	a := s.bodies.NewAccount()
	defer a.Close()
	if r.Body, e = s.readBody(w, q, a, n.Client()); e != nil {
		f := bodyRefusal(e)
		if f.Reason == lavenderridge.ReasonBadRequest {
			s.writeRefusal(w, r.ID, f)
			return
		}
		s.refuseUnread(w, r.ID, f)
		return
	}
	if !s.drain.Enter() {
		f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonStopping, "the daemon is shutting down")
		f.RetryAfter = stopRetryAfter
		s.writeRefusal(w, r.ID, f)
		return
	}
	defer s.drain.Leave()
	n.Client().Begin()
	defer n.Client().End()
	if n != nil && n.HasLeft() {
		s.writeRefusal(w, r.ID, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonCancelled, "the caller has left"))
		return
	}
	p, e := s.handler.Handle(operator.WithBodyAccount(q.Context(), a), r)
	if e != nil {
		s.writeRefusal(w, r.ID, lavenderridge.AsRefusal(e))
		return
	}
	n.Client().Deliver(time.Now())
	defer n.Client().Delivered()
	s.writeResponse(w, p)
}

// readBody returns the whole body, which must arrive within bodyTimeout. Before it is
// read, its memory is taken from a, for which it waits for a short time. If that is in
// vain, it closes clients whose bodies have stopped, and waits once more. It
// then clears the read deadline, so that the HTTP library can detect that the
// caller disconnects while the request runs.
func (s *Server) readBody(w http.ResponseWriter, q *http.Request, a *operator.BodyAccount, k *operator.Client) ([]byte, error) {
	c := http.NewResponseController(w)
	if e := c.SetReadDeadline(time.Now().Add(s.bodyTimeout)); e != nil {
		return nil, e
	}
	var v lavenderridge.ByteCount
	defer func() { k.EndBody(v) }()
	b, e := plainhttp.ReadBody(q.Body, q.ContentLength, s.bodies.LargestRequest(s.bodyLimit()), operator.LargeBody, func(n lavenderridge.ByteCount) error {
		e := a.ReserveRequest(q.Context(), n)
		if errors.Is(e, context.DeadlineExceeded) && k.Relieve(n, time.Now()) {
			e = a.ReserveRequest(q.Context(), n)
		}
		if e != nil {
			return errors.Join(errBodyMemory, e)
		}
		k.ReceiveBody(n)
		v += n
		return nil
	})
	if e != nil {
		return nil, e
	}
	return b, c.SetReadDeadline(time.Time{})
}

// refuseUnread writes the refusal f of a request whose body has not been read whole. The
// HTTP library reads the rest of a small body, so that the connection can be kept, and
// closes it otherwise.
func (s *Server) refuseUnread(w http.ResponseWriter, d lavenderridge.RequestID, f *lavenderridge.Refusal) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	s.writeRefusal(w, d, f)
}

// bodyLimit returns the lower one of the server's own limit and that of
// WithLimits, where zero means no limit.
func (s *Server) bodyLimit() lavenderridge.ByteCount {
	if n := s.limits().Body; n > 0 {
		return min(n, s.maxBody)
	}
	return s.maxBody
}

// bodyRefusal returns the refusal for the error e of readBody: TooLarge if the
// body exceeds the limit, Overloaded if there was no memory for it, and BadRequest if it
// did not arrive completely.
func bodyRefusal(e error) *lavenderridge.Refusal {
	f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonBadRequest, e.Error())
	switch {
	case errors.Is(e, plainhttp.ErrBodyTooLarge):
		f.Reason = lavenderridge.ReasonTooLarge
	case errors.Is(e, errBodyMemory):
		f.Reason, f.RetryAfter = lavenderridge.ReasonOverloaded, bodyMemoryRetryAfter
	}
	return f
}

// newRequest returns the request that arrived as q at the time t, without its body. It
// returns the request also with an error, for its ID.
func (s *Server) newRequest(q *http.Request, t time.Time) (*lavenderridge.Request, error) {
	n := q.Header["Connection"]
	r := &lavenderridge.Request{
		Caller: s.callerService(),
		Method: q.Method,
		Host:   q.Host,
		Path:   requestTarget(q.RequestURI),
		Header: dropHopByHop(q.Header),
	}
	if !utf8.ValidString(r.Path) {
		return r, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonBadRequest, "the path is not valid UTF-8")
	}
	e := s.protocol.ReadRequest(r, t)
	// The protocol has taken its own fields out of the header before.
	dropNamed(r.Header, n)
	return r, e
}

// requestTarget returns the path and the query of the request target t as the caller wrote
// them. Only an absolute URL, which is meant for proxies, loses its scheme and host. The
// URL that the HTTP library has parsed doesn't tell an escaped slash from a plain one if
// it has a character that the library would escape.
func requestTarget(t string) string {
	if strings.HasPrefix(t, "/") {
		return t
	}
	_, v, o := strings.Cut(t, "://")
	if !o {
		return t
	}
	switch i := strings.IndexAny(v, "/?"); {
	case i < 0:
		return "/"
	case v[i] == '?':
		return "/" + v[i:]
	default:
		return v[i:]
	}
}

// dropHopByHop removes the hop-by-hop fields and Content-Length, which apply to one
// connection only, from h and returns it.
func dropHopByHop(h http.Header) lavenderridge.Header {
	for _, k := range [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"} {
		delete(h, k)
	}
	return lavenderridge.Header(h)
}

// dropNamed removes the fields from h that the values l of Connection name.
func dropNamed(h lavenderridge.Header, l []string) {
	for _, v := range l {
		for n := range strings.SplitSeq(v, ",") {
			delete(h, http.CanonicalHeaderKey(strings.TrimSpace(n)))
		}
	}
}

func (s *Server) writeResponse(w http.ResponseWriter, p *lavenderridge.Response) {
	// The response may be shared, so its header is copied.
	maps.Copy(w.Header(), p.Header)
	dropHopByHop(w.Header())
	s.protocol.WriteResponse(lavenderridge.Header(w.Header()), p)
	w.Header().Set("Content-Length", strconv.Itoa(len(p.Body)))
	s.setConnectionClose(w)
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.Body)
}

func (s *Server) writeRefusal(w http.ResponseWriter, d lavenderridge.RequestID, r *lavenderridge.Refusal) {
	n := s.protocol.WriteRefusal(lavenderridge.Header(w.Header()), d, r)
	s.setConnectionClose(w)
	http.Error(w, r.Error(), n)
}

// setConnectionClose sets Connection: close during a shutdown, so that the
// caller uses another connection for its next request.
func (s *Server) setConnectionClose(w http.ResponseWriter) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Run serves requests until c is cancelled and for the stop delay after that. It then
// waits up to d for running requests to finish. Until they have finished, it refuses
// requests that still arrive, for which there may not be enough time. Then it closes
// the listener and all connections.
func (s *Server) Run(c context.Context, d time.Duration) error {
	x := context.WithoutCancel(c)
	f := make(chan error, 1)
	go func() { f <- s.Start(x) }()
	select {
	case e := <-f:
		return e
	case <-c.Done():
	}
	s.stopping.Store(true)
	if e := lavenderridge.Sleep(x, s.stopDelay); e != nil {
		return e
	}
	t, n := context.WithTimeout(x, d)
	defer n()
	s.drain.Start()
	if e := s.drain.Wait(t); e != nil {
		return fmt.Errorf("callerhttp: running requests: %w", e)
	}
	if e := s.stopper.Stop(t, s.Server); e != nil {
		return fmt.Errorf("callerhttp: shut down: %w", e)
	}
	return <-f
}
