package configservice

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/confighttp"
)

const (
	defaultRate lavenderridge.Rate = 2000
	maxWait                        = time.Minute
)

// A Server holds the values that daemons read. Publishing stands for what the
// operators and the platform do; daemons never do it.
type Server struct {
	mutex   sync.Mutex
	values  map[lavenderridge.DocumentName]*value
	limiter *rate.Limiter
	down    bool
	calls   uint64
	refused uint64
}

type value struct {
	document lavenderridge.Document
	changed  chan struct{}
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a server without values that allows r calls a second, or
// 2,000 when r is zero.
func NewServer(r lavenderridge.Rate) *Server {
	if r == 0 {
		r = defaultRate
	}
	return &Server{
		values:  make(map[lavenderridge.DocumentName]*value),
		limiter: rate.NewLimiter(rate.Limit(r), int(r)),
	}
}

// Publish puts the body b in force under the next version of d.
func (s *Server) Publish(d lavenderridge.DocumentName, b []byte) lavenderridge.Version {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := s.value(d)
	v.document.Version++
	v.document.Body = b
	close(v.changed)
	v.changed = make(chan struct{})
	return v.document.Version
}

// SetDown makes the server answer 503 to every call, or stop doing so.
func (s *Server) SetDown(d bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = d
}

// Calls returns the number of calls taken and of calls refused for their rate.
func (s *Server) Calls() (n, r uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls, s.refused
}

func (s *Server) value(d lavenderridge.DocumentName) *value {
	v, o := s.values[d]
	if !o {
		v = &value{document: lavenderridge.Document{Name: d}, changed: make(chan struct{})}
		s.values[d] = v
	}
	return v
}

// ServeHTTP implements the protocol of package confighttp, and PUT for
// operators and platform.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var d string
	if _, e := fmt.Sscanf(q.URL.Path, "/v1/documents/%s", &d); e != nil {
		http.NotFound(w, q)
		return
	}
	switch q.Method {
	case http.MethodGet:
		s.get(w, q, lavenderridge.DocumentName(d))
	case http.MethodPut:
		b, e := io.ReadAll(http.MaxBytesReader(w, q.Body, int64(lavenderridge.Mebibyte)))
		if e != nil {
			http.Error(w, e.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		_, _ = fmt.Fprintln(w, s.Publish(lavenderridge.DocumentName(d), b))
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (s *Server) get(w http.ResponseWriter, q *http.Request, d lavenderridge.DocumentName) {
	if n := s.admit(); n != http.StatusOK {
		http.Error(w, http.StatusText(n), n)
		return
	}
	a, _ := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	t, _ := time.ParseDuration(q.URL.Query().Get("wait"))
	m := time.NewTimer(min(t, maxWait))
	defer m.Stop()
	for {
		v, f := s.load(d)
		if v.Version > lavenderridge.Version(a) {
			w.Header().Set(confighttp.VersionHeader, strconv.FormatUint(uint64(v.Version), 10))
			_, _ = w.Write(v.Body)
			return
		}
		select {
		case <-f:
		case <-m.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (s *Server) admit() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.down {
		return http.StatusServiceUnavailable
	}
	if !s.limiter.Allow() {
		s.refused++
		return http.StatusTooManyRequests
	}
	return http.StatusOK
}

func (s *Server) load(d lavenderridge.DocumentName) (lavenderridge.Document, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := s.value(d)
	return v.document, v.changed
}
