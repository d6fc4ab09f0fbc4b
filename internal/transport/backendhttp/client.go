package backendhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/lavenderridge/lavenderridge"
)

// Headers that tell the backend server about a request.
const (
	// RequestIDHeader carries the request's ID.
	RequestIDHeader = "X-Request-Id"
	// TimeoutHeader carries the time left, in milliseconds.
	TimeoutHeader = "X-Request-Timeout-Ms"
	// DepthHeader carries the number of services passed through.
	DepthHeader = "X-Request-Depth"
	// NoRetryHeader tells that a layer above owns the retries.
	NoRetryHeader = "X-Request-No-Retry"
)

const (
	idleTimeout = time.Minute
	healthPath  = "/healthz"
	maxHealth   = 64 << 10
)

// A Client runs requests at one backend server.
type Client struct {
	http    *kratoshttp.Client
	pool    *http.Transport
	address lavenderridge.Address
	maxBody lavenderridge.ByteCount
}

var _ lavenderridge.BackendServer = (*Client)(nil)

// NewClient returns a client of the backend server at the address a with at
// most n connections. Responses above m bytes are refused.
func NewClient(c context.Context, a lavenderridge.Address, n lavenderridge.Connections, m lavenderridge.ByteCount) (*Client, error) {
	p := &http.Transport{
		MaxConnsPerHost: int(n), MaxIdleConnsPerHost: int(n), IdleConnTimeout: idleTimeout,
		DisableCompression: true,
	}
	h, e := kratoshttp.NewClient(c,
		kratoshttp.WithTransport(p),
		kratoshttp.WithTimeout(0),
		kratoshttp.WithErrorDecoder(func(context.Context, *http.Response) error { return nil }),
	)
	if e != nil {
		return nil, fmt.Errorf("backendhttp: %w", e)
	}
	return &Client{http: h, pool: p, address: a, maxBody: m}, nil
}

// Handle implements lavenderridge.Handler.
func (l *Client) Handle(c context.Context, r *lavenderridge.Request) (*lavenderridge.Response, error) {
	q, e := l.newRequest(c, r)
	if e != nil {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonInternal, e.Error())
	}
	p, e := l.http.Do(q)
	if e != nil {
		return nil, failure(c, e)
	}
	defer func() { _ = p.Body.Close() }()
	b, e := io.ReadAll(io.LimitReader(p.Body, int64(l.maxBody)+1))
	if e != nil {
		return nil, failure(c, e)
	}
	if lavenderridge.ByteCount(len(b)) > l.maxBody {
		return nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonTooLarge, "response too large")
	}
	return &lavenderridge.Response{
		ID: r.ID, Attempt: r.Attempt, Status: p.StatusCode, Header: lavenderridge.Header(p.Header), Body: b,
	}, nil
}

func (l *Client) newRequest(c context.Context, r *lavenderridge.Request) (*http.Request, error) {
	q, e := http.NewRequestWithContext(c, r.Method, "http://"+string(l.address)+r.Path, bytes.NewReader(r.Body))
	if e != nil {
		return nil, e
	}
	maps.Copy(q.Header, http.Header(r.Header))
	q.Header.Set(RequestIDHeader, string(r.ID))
	q.Header.Set(DepthHeader, strconv.Itoa(int(r.Depth)))
	if r.NoRetry {
		q.Header.Set(NoRetryHeader, "true")
	}
	if d, o := c.Deadline(); o {
		q.Header.Set(TimeoutHeader, strconv.FormatInt(time.Until(d).Milliseconds(), 10))
	}
	// Without GetBody the HTTP library never sends a request a second time.
	q.GetBody = nil
	return q, nil
}

func failure(c context.Context, e error) error {
	r := lavenderridge.ReasonConnectionLost
	switch {
	case errors.Is(c.Err(), context.DeadlineExceeded):
		r = lavenderridge.ReasonDeadline
	case c.Err() != nil:
		r = lavenderridge.ReasonCancelled
	}
	return lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, r, e.Error())
}

// Probe implements lavenderridge.BackendServer.
func (l *Client) Probe(c context.Context) (lavenderridge.Health, error) {
	var h lavenderridge.Health
	q, e := http.NewRequestWithContext(c, http.MethodGet, "http://"+string(l.address)+healthPath, http.NoBody)
	if e != nil {
		return h, fmt.Errorf("backendhttp: %w", e)
	}
	p, e := l.http.Do(q)
	if e != nil {
		return h, fmt.Errorf("backendhttp: probe: %w", e)
	}
	defer func() { _ = p.Body.Close() }()
	if e := json.NewDecoder(io.LimitReader(p.Body, maxHealth)).Decode(&h); e != nil {
		return h, fmt.Errorf("backendhttp: probe: %w", e)
	}
	return h, nil
}

// Close implements lavenderridge.BackendServer.
func (l *Client) Close() error {
	l.pool.CloseIdleConnections()
	return l.http.Close()
}
