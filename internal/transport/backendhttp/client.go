package backendhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

const (
	defaultHealthPath          = "/healthz"
	maxHealthBody              = 64 << 10 // bytes
	defaultUnresponsiveTimeout = time.Second
	probeTimeout               = 500 * time.Millisecond
	// reservedConnections are for health checks.
	reservedConnections = 2
)

// errTarget is the error for a request target that can't be sent unchanged.
var errTarget = errors.New("backendhttp: a path with two slashes at its beginning has characters that must be escaped")

// A Client sends requests to one backend server. It reserves two of its
// connections, if it has more, for health checks: one that is kept, and one for those that
// must open a new connection.
type Client struct {
	address             lavenderridge.Address
	connections         lavenderridge.Connections
	maxBody             lavenderridge.ByteCount
	unresponsiveTimeout time.Duration
	dialer              *dialer
	pool                atomic.Pointer[pool]
	// healthPool opens a connection for each health check, and recheckPool keeps one.
	healthPool, recheckPool *pool
	// repeatPool opens a connection for each request. It is for requests that the
	// backend server has refused before, which are in refused.
	repeatPool *pool
	refused    refusedIDs
	checking   atomic.Bool
	newPool    func() (*pool, error)
	protocol   lavenderridge.BackendProtocol
	onNotice   func(*lavenderridge.Request, lavenderridge.Notice)
	healthPath func() string
}

var _ lavenderridge.BackendServer = (*Client)(nil)

// NewClient returns a client of the backend server at the address a with at
// most max(2, n) connections. Responses with a body above m bytes are refused.
func NewClient(c context.Context, a lavenderridge.Address, n lavenderridge.Connections, m lavenderridge.ByteCount, o ...Option) (*Client, error) {
	l := &Client{
		address: a, connections: n, maxBody: m, unresponsiveTimeout: defaultUnresponsiveTimeout, dialer: newDialer(max(2, n)),
		protocol: Protocol{}, healthPath: func() string { return "" }, onNotice: func(*lavenderridge.Request, lavenderridge.Notice) {},
	}
	for _, f := range o {
		f(l)
	}
	c = context.WithoutCancel(c)
	l.newPool = func() (*pool, error) { return newPool(c, l.dialer, max(1, int(n)-reservedConnections), true) }
	p, e := l.newPool()
	if e != nil {
		return nil, e
	}
	l.pool.Store(p)
	if l.healthPool, e = newPool(c, l.dialer, 1, false); e != nil {
		return nil, e
	}
	if l.recheckPool, e = newPool(c, l.dialer, 1, true); e != nil {
		return nil, e
	}
	l.repeatPool, e = newPool(c, l.dialer, max(1, int(n)-reservedConnections), false)
	return l, e
}

// Handle implements lavenderridge.Handler. A refusal has the outcome NotRun
// only if no byte of the request was sent, or if the response states that the
// backend server did not run the request.
func (l *Client) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	// Cancelling the context closes the connection of a request that ended
	// early, so that no later request uses it.
	c, f := context.WithCancel(c)
	defer f()
	s := &sendTracker{}
	x, d := s.begin(c)
	defer d()
	q, e := l.newRequest(x, r)
	if e != nil {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonBadRequest, e.Error())
	}
	o := l.pool.Load()
	if l.refused.contains(r.ID) {
		// On a kept connection, the response could be the earlier refusal, sent
		// once more: it has the same ID.
		o = l.repeatPool
	}
	defer l.closeIdleIfReplaced(o)
	k := time.AfterFunc(l.unresponsiveTimeout, func() { l.checkUnresponsive(c, o) })
	defer k.Stop()
	p, e := o.http.Do(q)
	if e != nil {
		return nil, requestRefusal(x, s, e)
	}
	defer func() { _ = p.Body.Close() }()
	return l.readResponse(x, r, p, s)
}

// readResponse reads the whole response p. Unless the protocol allows them, it
// refuses responses that end when the connection closes, because their end
// cannot be distinguished from a lost connection.
func (l *Client) readResponse(c context.Context, r *lavenderridge.Request, p *http.Response, s *sendTracker) (*lavenderridge.Response, error) {
	h := lavenderridge.Header(p.Header)
	if !l.protocol.Matches(r, h) {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, "the response is for another request")
	}
	n, o := l.protocol.NotRun(p.StatusCode, h)
	if n != lavenderridge.ReasonWrongTarget {
		l.onNotice(r, l.protocol.Notice(h))
	}
	if o {
		f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, n, fmt.Sprintf("the backend server responded with status %d and did not run the request", p.StatusCode))
		f.Offered = true
		l.refused.add(c, r.ID)
		return nil, f
	}
	if l.protocol.ImpliesNotRun(p.StatusCode) {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, fmt.Sprintf("the backend server responded with status %d but may have run the request", p.StatusCode))
	}
	if !l.protocol.AllowsUnframed() && isCloseDelimited(r.Method, p) {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, "the response has neither a Content-Length nor a chunked encoding")
	}
	b, e := l.readBody(c, r, p)
	if errors.Is(e, plainhttp.ErrBodyTooLarge) {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonTooLarge, e.Error())
	}
	if e != nil {
		return nil, requestRefusal(c, s, e)
	}
	renameField(p.Header, hiddenLocationField, locationField)
	return &lavenderridge.Response{
		ID: r.ID, Attempt: r.Attempt, Status: p.StatusCode, Header: lavenderridge.Header(p.Header), Body: b,
	}, nil
}

// readBody returns the body of the response p to r when there is memory for it. While it
// grows, it doesn't wait for more.
func (l *Client) readBody(c context.Context, r *lavenderridge.Request, p *http.Response) ([]byte, error) {
	a, n := operator.BodyAccountOf(c), p.ContentLength
	if r.Method == http.MethodHead {
		n = 0
	}
	m := a.LargestResponse(l.maxBody)
	k := false
	return plainhttp.ReadBody(p.Body, n, m, m, func(n lavenderridge.ByteCount) error {
		if !k {
			k = true
			return a.ReserveResponse(c, n)
		}
		if e := a.GrowResponse(n); e != nil {
			return errors.Join(plainhttp.ErrBodyTooLarge, e)
		}
		return nil
	})
}

// isCloseDelimited reports whether only the close of the connection marks the
// end of the response p to a request with the method m.
func isCloseDelimited(m string, p *http.Response) bool {
	o := m == http.MethodHead || p.StatusCode == http.StatusNoContent || p.StatusCode == http.StatusNotModified
	return !o && p.ContentLength < 0 && len(p.TransferEncoding) == 0
}

// The HTTP library would follow a redirect to Location. It doesn't recognise the name in
// lower case.
const (
	locationField       = "Location"
	hiddenLocationField = "location"
)

// opaqueBody hides the concrete type of its reader, so that the HTTP library seldom tries
// to repeat a request. It couldn't, but would close another connection.
type opaqueBody struct{ io.Reader }

// newBody returns the body of r. An empty body is opaque only with safe methods, for which
// the HTTP library looks whether it is empty; others would be sent in chunks.
func newBody(r *lavenderridge.Request) io.Reader {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return opaqueBody{bytes.NewReader(r.Body)}
	}
	if len(r.Body) == 0 {
		return http.NoBody
	}
	return opaqueBody{bytes.NewReader(r.Body)}
}

func (l *Client) newRequest(c context.Context, r *lavenderridge.Request) (*http.Request, error) {
	u, e := newURL(l.address, r.Path)
	if e != nil {
		return nil, e
	}
	q, e := http.NewRequestWithContext(c, r.Method, "http://"+string(l.address), newBody(r))
	if e != nil {
		return nil, e
	}
	q.URL = u
	q.ContentLength = int64(len(r.Body))
	maps.Copy(q.Header, http.Header(r.Header))
	q.Host = r.Host
	var d time.Duration
	if t, o := c.Deadline(); o {
		d = max(time.Until(t), time.Nanosecond)
	}
	l.protocol.WriteRequest(lavenderridge.Header(q.Header), r, d)
	return q, nil
}

// newURL returns the URL with which the HTTP library sends the request target t to the
// address a unchanged.
func newURL(a lavenderridge.Address, t string) (*url.URL, error) {
	u := &url.URL{Scheme: "http", Host: string(a), Opaque: t}
	if !strings.HasPrefix(t, "//") {
		return u, nil
	}
	// Two slashes at the beginning of Opaque would be taken for a host.
	var e error
	u.Opaque = ""
	u.RawPath, u.RawQuery, u.ForceQuery = strings.Cut(t, "?")
	if u.Path, e = url.PathUnescape(u.RawPath); e != nil {
		return nil, fmt.Errorf("backendhttp: %w", e)
	}
	if u.RequestURI() != t {
		return nil, errTarget
	}
	return u, nil
}

func renameField(h http.Header, o, n string) {
	if v, k := h[o]; k {
		delete(h, o)
		h[n] = v
	}
}

// requestRefusal returns the refusal for the error e of the request that s
// tracks.
func requestRefusal(c context.Context, s *sendTracker, e error) error {
	if errors.Is(e, lavenderridge.ErrMalformedHead) {
		// The HTTP library may already have given the connection to another request, so
		// mayHaveSent must not seal it.
		return lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, e.Error())
	}
	o, r := lavenderridge.OutcomeUnknown, lavenderridge.ReasonConnectionLost
	if !s.mayHaveSent() {
		o, r = lavenderridge.OutcomeNotRun, lavenderridge.ReasonUnreachable
	}
	switch {
	case errors.Is(context.Cause(c), errSentBefore):
	case errors.Is(c.Err(), context.DeadlineExceeded):
		r = lavenderridge.ReasonDeadline
	case c.Err() != nil:
		r = lavenderridge.ReasonCancelled
	case errors.Is(e, errTooManyConnections):
		r = lavenderridge.ReasonLimit
	}
	return lavenderridge.NewRefusal(o, r, e.Error())
}

// checkUnresponsive replaces the pool o if a health check over a new connection
// succeeds while a request in o still waits for its response: a device on the
// path may have dropped the connections of o, which leaves them half-open.
// Requests in flight keep their connections, since a slow response cannot be
// distinguished from a half-open connection.
func (l *Client) checkUnresponsive(c context.Context, o *pool) {
	if l.pool.Load() != o || !l.checking.CompareAndSwap(false, true) {
		return
	}
	defer l.checking.Store(false)
	c, f := context.WithTimeout(c, probeTimeout)
	defer f()
	if _, e := l.Probe(c); e != nil {
		return
	}
	n, e := l.newPool()
	if e != nil {
		return
	}
	if !l.pool.CompareAndSwap(o, n) {
		_ = n.close()
		return
	}
	o.transport.CloseIdleConnections()
}

// closeIdleIfReplaced closes the idle connections of the pool o if the pool was
// replaced while a request used it.
func (l *Client) closeIdleIfReplaced(o *pool) {
	if l.pool.Load() != o {
		o.transport.CloseIdleConnections()
	}
}

// Probe implements lavenderridge.BackendServer. It opens a new connection. The
// error is a Refusal with the reason Unreachable if the connection fails to
// open for another reason than a timeout.
func (l *Client) Probe(c context.Context) (lavenderridge.Health, error) {
	return l.probe(c, l.healthPool)
}

// Recheck implements lavenderridge.BackendServer.
func (l *Client) Recheck(c context.Context) (lavenderridge.Health, error) {
	h, e := l.probe(c, l.recheckPool)
	if e != nil {
		return h, fmt.Errorf("backendhttp: recheck: %w", e)
	}
	return h, nil
}

// probe queries the health endpoint over a connection of the pool o.
func (l *Client) probe(c context.Context, o *pool) (lavenderridge.Health, error) {
	var h lavenderridge.Health
	c, f := (&sendTracker{}).begin(c)
	defer f()
	q, e := http.NewRequestWithContext(c, http.MethodGet, "http://"+string(l.address)+l.healthCheckPath(), http.NoBody)
	if e != nil {
		return h, fmt.Errorf("backendhttp: probe: %w", e)
	}
	p, e := o.http.Do(q)
	if e != nil {
		return h, probeError(c, e)
	}
	defer func() { _ = p.Body.Close() }()
	if v, o := l.protocol.Health(p.StatusCode, lavenderridge.Header(p.Header)); o {
		return v, nil
	}
	if e := json.NewDecoder(io.LimitReader(p.Body, maxHealthBody)).Decode(&h); e != nil {
		return h, fmt.Errorf("backendhttp: probe: %w", e)
	}
	h.Notice = l.protocol.Notice(lavenderridge.Header(p.Header))
	return h, nil
}

func (l *Client) healthCheckPath() string {
	if p := l.healthPath(); p != "" {
		return p
	}
	return defaultHealthPath
}

// probeError returns the error of Probe for the error e of its HTTP request.
func probeError(c context.Context, e error) error {
	var n *net.OpError
	if c.Err() == nil && errors.As(e, &n) && n.Op == "dial" && !n.Timeout() {
		return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonUnreachable, e.Error())
	}
	return fmt.Errorf("backendhttp: probe: %w", e)
}

// Close implements lavenderridge.BackendServer.
func (l *Client) Close() error {
	return errors.Join(l.pool.Load().close(), l.healthPool.close(), l.recheckPool.close(), l.repeatPool.close())
}
