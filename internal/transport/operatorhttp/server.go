package operatorhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

// Limits of the time, size and number of requests. Sizes are in bytes.
const (
	readTimeout           = 5 * time.Second
	writeTimeout          = 30 * time.Second
	idleTimeout           = time.Minute
	stopTimeout           = time.Second
	maxHeaderSize         = 16 << 10
	headSlack             = 4 << 10 // for the request line
	maxConcurrentRequests = 16
)

// Paths that are answered however many other requests there are.
const (
	healthPath = "/healthz"
	readyPath  = "/readyz"
)

// A Server serves read-only views of one daemon to operators.
type Server struct {
	*kratoshttp.Server
	status       func() Status
	decisions    func(q DecisionQuery) []lavenderridge.Decision
	burn         func() BurnCounts
	metrics      metrics.Registry
	requestSlots chan struct{}
	clients      *operator.ClientTable
	maxFields    int
	stopper      *plainhttp.Stopper
}

// NewServer returns a server on the listener l. The function f returns the
// daemon's status.
func NewServer(l net.Listener, f func() Status, o ...Option) *Server {
	s := &Server{
		status:       f,
		decisions:    func(DecisionQuery) []lavenderridge.Decision { return []lavenderridge.Decision{} },
		burn:         func() BurnCounts { return BurnCounts{} },
		metrics:      metrics.NewRegistry(),
		requestSlots: make(chan struct{}, maxConcurrentRequests),
		clients:      operator.NewClientTable(operator.ClientLimits{}, nil),
	}
	for _, v := range o {
		v(s)
	}
	n := plainhttp.NewListener(l, s.clients, s.headLimits, 0)
	s.Server = kratoshttp.NewServer(
		kratoshttp.Listener(n),
		kratoshttp.Address(l.Addr().String()),
		kratoshttp.Timeout(0),
		kratoshttp.Filter(s.filter),
	)
	s.ReadTimeout, s.ReadHeaderTimeout = readTimeout, readTimeout
	s.WriteTimeout, s.IdleTimeout = writeTimeout, idleTimeout
	s.MaxHeaderBytes = maxHeaderSize
	s.stopper = plainhttp.NewStopper(s.Server, n)
	s.ConnContext = plainhttp.WithConn
	s.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.status()) })
	s.HandleFunc("/burn", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.burn()) })
	s.HandleFunc("/decisions", s.serveDecisions)
	s.HandleFunc("/metrics", s.serveMetrics)
	s.HandleFunc(healthPath, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	s.HandleFunc(readyPath, s.serveReady)
	return s
}

// headLimits returns the limits of the head of a request.
func (s *Server) headLimits() operator.HeadLimits {
	return operator.HeadLimits{Bytes: maxHeaderSize + headSlack, Fields: s.maxFields}
}

// Run serves requests until c is cancelled, and completes those that are running.
func (s *Server) Run(c context.Context) error {
	x := context.WithoutCancel(c)
	f := make(chan error, 1)
	go func() { f <- s.Start(x) }()
	select {
	case e := <-f:
		return runError(e)
	case <-c.Done():
	}
	t, n := context.WithTimeout(x, stopTimeout)
	defer n()
	if s.stopper.Stop(t, s.Server) != nil {
		_ = s.Close()
	}
	return runError(<-f)
}

func runError(e error) error {
	if e != nil {
		return fmt.Errorf("operatorhttp: %w", e)
	}
	return nil
}

// filter refuses methods other than GET and HEAD, requests with a body, and
// more than maxConcurrentRequests at a time, except for health and readiness.
func (s *Server) filter(n http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		k := plainhttp.ConnOf(q.Context())
		k.HeadRead()
		if q.Method != http.MethodGet && q.Method != http.MethodHead {
			http.Error(w, "only GET and HEAD are allowed", http.StatusMethodNotAllowed)
			return
		}
		if q.ContentLength != 0 {
			http.Error(w, "no body is allowed", http.StatusRequestEntityTooLarge)
			return
		}
		if q.URL.Path == readyPath || q.URL.Path == healthPath {
			n.ServeHTTP(w, q)
			return
		}
		select {
		case s.requestSlots <- struct{}{}:
			defer func() { <-s.requestSlots }()
			k.Client().Begin()
			defer k.Client().End()
			k.Client().Deliver(time.Now())
			defer k.Client().Delivered()
			n.ServeHTTP(w, q)
		default:
			http.Error(w, "too many concurrent requests", http.StatusServiceUnavailable)
		}
	})
}

func (s *Server) serveDecisions(w http.ResponseWriter, q *http.Request) {
	v, e := parseDecisionQuery(q.URL.Query())
	if e != nil {
		http.Error(w, e.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, s.decisions(v))
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = WriteMetrics(w, s.metrics)
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if v := s.status(); !v.Ready || v.Leaving {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
