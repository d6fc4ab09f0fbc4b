package callerhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"

	"github.com/lavenderridge/lavenderridge"
)

// Headers of the caller protocol.
const (
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	TimeoutHeader        = "X-Request-Timeout-Ms"
	DepthHeader          = "X-Request-Depth"
	OutcomeHeader        = "X-Refusal-Outcome"
	ReasonHeader         = "X-Refusal-Reason"
	RetriedHeader        = "X-Refusal-Retried"
	TargetHeader         = "X-Served-By"
	// NoRetryHeader tells that a layer above owns the retries.
	NoRetryHeader = "X-Request-No-Retry"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// defaultBodyTimeout lets a body of 1 MiB arrive at 0.3 Mbit/s.
	defaultBodyTimeout = 30 * time.Second
	maxHeader          = 64 << 10
	maxRequestID       = 128
)

// A Server answers callers by a handler.
type Server struct {
	*kratoshttp.Server
	handler lavenderridge.Handler
	maxBody lavenderridge.ByteCount
	// bodyTimeout bounds the arrival of one body.
	bodyTimeout time.Duration
}

// NewServer returns a server on the listener l that passes requests to h and
// refuses bodies above m bytes.
func NewServer(l net.Listener, h lavenderridge.Handler, m lavenderridge.ByteCount) *Server {
	s := &Server{handler: h, maxBody: m, bodyTimeout: defaultBodyTimeout}
	s.Server = kratoshttp.NewServer(
		kratoshttp.Listener(l),
		kratoshttp.Address(l.Addr().String()),
		kratoshttp.Timeout(0),
		// The filter answers before the router, which would rewrite paths.
		kratoshttp.Filter(func(http.Handler) http.Handler { return http.HandlerFunc(s.serve) }),
	)
	s.ReadHeaderTimeout = readHeaderTimeout
	s.IdleTimeout = idleTimeout
	s.MaxHeaderBytes = maxHeader
	return s
}

func (s *Server) serve(w http.ResponseWriter, q *http.Request) {
	b, e := s.readBody(w, q)
	if e != nil {
		writeRefusal(w, bodyRefusal(e))
		return
	}
	r, e := newRequest(q, b, time.Now())
	if e != nil {
		writeRefusal(w, lavenderridge.AsRefusal(e))
		return
	}
	p, e := s.handler.Handle(q.Context(), r)
	if e != nil {
		w.Header().Set(RequestIDHeader, string(r.ID))
		writeRefusal(w, lavenderridge.AsRefusal(e))
		return
	}
	writeResponse(w, p)
}

// readBody returns the whole body, which must arrive within a bound. Without a
// deadline afterwards, the server hears when the caller goes away.
func (s *Server) readBody(w http.ResponseWriter, q *http.Request) ([]byte, error) {
	c := http.NewResponseController(w)
	if e := c.SetReadDeadline(time.Now().Add(s.bodyTimeout)); e != nil {
		return nil, e
	}
	b, e := io.ReadAll(http.MaxBytesReader(w, q.Body, int64(s.maxBody)))
	if e != nil {
		return nil, e
	}
	return b, c.SetReadDeadline(time.Time{})
}

// bodyRefusal tells a body that is too large from one that broke off.
func bodyRefusal(e error) *lavenderridge.Refusal {
	var m *http.MaxBytesError
	r := lavenderridge.ReasonBadRequest
	if errors.As(e, &m) {
		r = lavenderridge.ReasonTooLarge
	}
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, r, e.Error())
}

func newRequest(q *http.Request, b []byte, t time.Time) (*lavenderridge.Request, error) {
	r := &lavenderridge.Request{
		ID:     lavenderridge.RequestID(q.Header.Get(RequestIDHeader)),
		Key:    lavenderridge.IdempotencyKey(q.Header.Get(IdempotencyKeyHeader)),
		Method: q.Method,
		Path:   q.URL.RequestURI(),
		Header: endToEnd(q.Header),
		Body:   b,

		NoRetry: q.Header.Get(NoRetryHeader) == "true",
	}
	if r.ID == "" {
		r.ID = lavenderridge.RequestID(uuid.NewString())
	}
	if len(r.ID) > maxRequestID {
		return nil, badHeader(RequestIDHeader, "longer than 128 bytes")
	}
	if len(q.Header.Values(IdempotencyKeyHeader)) > 1 {
		return nil, badHeader(IdempotencyKeyHeader, "sent twice")
	}
	if v := q.Header.Get(TimeoutHeader); v != "" {
		n, e := strconv.ParseInt(v, 10, 32)
		if e != nil || n <= 0 {
			return nil, badHeader(TimeoutHeader, v)
		}
		r.Deadline = t.Add(time.Duration(n) * time.Millisecond)
	}
	if v := q.Header.Get(DepthHeader); v != "" {
		n, e := strconv.ParseUint(v, 10, 8)
		if e != nil || n == math.MaxUint8 {
			return nil, badHeader(DepthHeader, v)
		}
		r.Depth = lavenderridge.Depth(n)
	}
	return r, nil
}

func badHeader(k, v string) error {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonBadRequest, fmt.Sprintf("bad %s header %q", k, v))
}

// endToEnd returns a copy of h without the fields that concern one connection.
func endToEnd(h http.Header) lavenderridge.Header {
	v := maps.Clone(h)
	for _, k := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"} {
		delete(v, k)
	}
	return lavenderridge.Header(v)
}

func writeResponse(w http.ResponseWriter, p *lavenderridge.Response) {
	maps.Copy(w.Header(), http.Header(endToEnd(http.Header(p.Header))))
	w.Header().Set(RequestIDHeader, string(p.ID))
	w.Header().Set(TargetHeader, string(p.Sender.Instance))
	w.Header().Set("Content-Length", strconv.Itoa(len(p.Body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.Body)
}

func writeRefusal(w http.ResponseWriter, r *lavenderridge.Refusal) {
	w.Header().Set(OutcomeHeader, r.Outcome.String())
	w.Header().Set(ReasonHeader, string(r.Reason))
	if r.Retried {
		w.Header().Set(RetriedHeader, "true")
	}
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	http.Error(w, r.Error(), refusalStatus(r))
}

func refusalStatus(r *lavenderridge.Refusal) int {
	switch r.Reason {
	case lavenderridge.ReasonNoRoute:
		return http.StatusNotFound
	case lavenderridge.ReasonBadRequest:
		return http.StatusBadRequest
	case lavenderridge.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case lavenderridge.ReasonLimit:
		return http.StatusTooManyRequests
	case lavenderridge.ReasonDeadline:
		return http.StatusGatewayTimeout
	case lavenderridge.ReasonBadKey, lavenderridge.ReasonKeyInUse:
		return http.StatusConflict
	}
	if r.Outcome == lavenderridge.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// Run serves until c ends, and then lets running requests finish within d.
func (s *Server) Run(c context.Context, d time.Duration) error {
	x := context.WithoutCancel(c)
	f := make(chan error, 1)
	go func() { f <- s.Start(x) }()
	select {
	case e := <-f:
		return e
	case <-c.Done():
	}
	t, n := context.WithTimeout(x, d)
	defer n()
	if e := s.Stop(t); e != nil {
		return fmt.Errorf("callerhttp: stop: %w", e)
	}
	return <-f
}
