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
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	defaultHealth  = "/healthz"
	maxHealth      = 64 << 10
	defaultSilence = time.Second
	probeTimeout   = 500 * time.Millisecond
)

// A Client runs requests at one backend server. It keeps one connection of its
// bound for health checks, each of which has a new one.
type Client struct {
	address     lavenderridge.Address
	connections lavenderridge.Connections
	maxBody     lavenderridge.ByteCount
	silence     time.Duration
	dialer      *dialer
	pool        atomic.Pointer[pool]
	health      *pool
	checking    atomic.Bool
	newPool     func() (*pool, error)
	protocol    lavenderridge.BackendProtocol
	healthPath  func() string
}

var _ lavenderridge.BackendServer = (*Client)(nil)

// NewClient returns a client of the backend server at the address a with at
// most n connections. Responses above m bytes are refused.
func NewClient(c context.Context, a lavenderridge.Address, n lavenderridge.Connections, m lavenderridge.ByteCount, o ...Option) (*Client, error) {
	l := &Client{
		address: a, connections: n, maxBody: m, silence: defaultSilence, dialer: newDialer(max(2, n)),
		protocol: Protocol{}, healthPath: func() string { return "" },
	}
	for _, f := range o {
		f(l)
	}
	c = context.WithoutCancel(c)
	l.newPool = func() (*pool, error) { return newPool(c, l.dialer, max(1, int(n)-1), true) }
	p, e := l.newPool()
	if e != nil {
		return nil, e
	}
	l.pool.Store(p)
	l.health, e = newPool(c, l.dialer, 1, false)
	return l, e
}

// Handle implements lavenderridge.Handler. A refusal has the outcome NotRun
// only when no byte of the request was sent.
func (l *Client) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	s := &sending{}
	// A connection on which a request ended early is not used again.
	c, f := context.WithCancel(c)
	defer f()
	q, e := l.newRequest(httptrace.WithClientTrace(c, s.trace()), r)
	if e != nil {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonInternal, e.Error())
	}
	o := l.pool.Load()
	defer l.retire(o)
	k := time.AfterFunc(l.silence, func() { l.checkSilence(c, o) })
	defer k.Stop()
	p, e := o.http.Do(q)
	if e != nil {
		return nil, failure(c, s, e)
	}
	defer func() { _ = p.Body.Close() }()
	return l.readResponse(c, r, p, s)
}

// readResponse reads a response to its end. One whose end cannot be told from
// a lost connection is refused.
func (l *Client) readResponse(c context.Context, r *lavenderridge.Request, p *http.Response, s *sending) (*lavenderridge.Response, error) {
	h := lavenderridge.Header(p.Header)
	if !l.protocol.Matches(r, h) {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, "the response is for another request")
	}
	if n, o := l.protocol.NotRun(p.StatusCode, h); o {
		f := lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, n, fmt.Sprintf("the backend server answered %d", p.StatusCode))
		f.Offered = true
		return nil, f
	}
	if l.protocol.ImpliesNotRun(p.StatusCode) {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, fmt.Sprintf("the backend server answered %d and may have run the request", p.StatusCode))
	}
	if !l.protocol.AllowsUnframed() && endsWithConnection(r.Method, p) {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadResponse, "the response has neither a length nor chunks")
	}
	b, e := io.ReadAll(io.LimitReader(p.Body, int64(l.maxBody)+1))
	if e != nil {
		return nil, failure(c, s, e)
	}
	if lavenderridge.ByteCount(len(b)) > l.maxBody {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonTooLarge, "response too large")
	}
	rename(p.Header, hiddenLocationField, locationField)
	return &lavenderridge.Response{
		ID: r.ID, Attempt: r.Attempt, Status: p.StatusCode, Header: lavenderridge.Header(p.Header), Body: b,
	}, nil
}

func endsWithConnection(m string, p *http.Response) bool {
	o := m == http.MethodHead || p.StatusCode == http.StatusNoContent || p.StatusCode == http.StatusNotModified
	return !o && p.ContentLength < 0 && len(p.TransferEncoding) == 0
}

// Header fields under names that the HTTP library does not act on: it would
// follow a redirect, and would send a request with a key a second time.
const (
	locationField       = "Location"
	hiddenLocationField = "location"
	keyField            = "Idempotency-Key"
	hiddenKeyField      = "idempotency-key"
)

// body hides the kind of its reader from the HTTP library, which would else
// send some requests a second time.
type body struct{ io.Reader }

// newBody returns the body of r. Only with the methods that HTTP calls safe
// would the library send a request without a body again.
func newBody(r *lavenderridge.Request) io.Reader {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return body{bytes.NewReader(r.Body)}
	}
	if len(r.Body) == 0 {
		return http.NoBody
	}
	return body{bytes.NewReader(r.Body)}
}

func (l *Client) newRequest(c context.Context, r *lavenderridge.Request) (*http.Request, error) {
	q, e := http.NewRequestWithContext(c, r.Method, "http://"+string(l.address)+r.Path, newBody(r))
	if e != nil {
		return nil, e
	}
	q.ContentLength = int64(len(r.Body))
	maps.Copy(q.Header, http.Header(r.Header))
	rename(q.Header, keyField, hiddenKeyField)
	q.Host = r.Host
	var d time.Duration
	if t, o := c.Deadline(); o {
		d = max(time.Until(t), time.Nanosecond)
	}
	l.protocol.WriteRequest(lavenderridge.Header(q.Header), r, d)
	return q, nil
}

func rename(h http.Header, o, n string) {
	if v, k := h[o]; k {
		delete(h, o)
		h[n] = v
	}
}

// failure returns the refusal for the error e of a request that s followed.
func failure(c context.Context, s *sending, e error) error {
	o, r := lavenderridge.OutcomeUnknown, lavenderridge.ReasonConnectionLost
	if !s.began() {
		o, r = lavenderridge.OutcomeNotRun, lavenderridge.ReasonUnreachable
	}
	switch {
	case errors.Is(c.Err(), context.DeadlineExceeded):
		r = lavenderridge.ReasonDeadline
	case c.Err() != nil:
		r = lavenderridge.ReasonCancelled
	case errors.Is(e, errTooManyConnections):
		r = lavenderridge.ReasonLimit
	}
	return lavenderridge.NewRefusal(o, r, e.Error())
}

// checkSilence replaces the pool o when a request in it has no answer while a
// new connection gets one: something between may have lost its connections.
// Requests in flight keep theirs, since a slow answer looks the same.
func (l *Client) checkSilence(c context.Context, o *pool) {
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

// retire closes the connections that a request has left idle in a pool that
// was replaced meanwhile.
func (l *Client) retire(o *pool) {
	if l.pool.Load() != o {
		o.transport.CloseIdleConnections()
	}
}

// Probe implements lavenderridge.BackendServer. It uses a new connection, and
// returns a Refusal with the reason Unreachable when that fails at once.
func (l *Client) Probe(c context.Context) (lavenderridge.Health, error) {
	var h lavenderridge.Health
	q, e := http.NewRequestWithContext(c, http.MethodGet, "http://"+string(l.address)+l.pathOfHealth(), http.NoBody)
	if e != nil {
		return h, fmt.Errorf("backendhttp: %w", e)
	}
	p, e := l.health.http.Do(q)
	if e != nil {
		return h, probeFailure(c, e)
	}
	defer func() { _ = p.Body.Close() }()
	if v, o := l.protocol.Health(p.StatusCode, lavenderridge.Header(p.Header)); o {
		return v, nil
	}
	if e := json.NewDecoder(io.LimitReader(p.Body, maxHealth)).Decode(&h); e != nil {
		return h, fmt.Errorf("backendhttp: probe: %w", e)
	}
	return h, nil
}

func (l *Client) pathOfHealth() string {
	if p := l.healthPath(); p != "" {
		return p
	}
	return defaultHealth
}

func probeFailure(c context.Context, e error) error {
	var n *net.OpError
	if c.Err() == nil && errors.As(e, &n) && n.Op == "dial" && !n.Timeout() {
		return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonUnreachable, e.Error())
	}
	return fmt.Errorf("backendhttp: probe: %w", e)
}

// Close implements lavenderridge.BackendServer.
func (l *Client) Close() error {
	return errors.Join(l.pool.Load().close(), l.health.close())
}
