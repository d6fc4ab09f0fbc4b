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

// A Server stores versioned documents in memory. Daemons only read them; Publish
// takes the place of the operators and the platform.
type Server struct {
	mutex        sync.Mutex
	values       map[lavenderridge.DocumentName]*value
	limiter      *rate.Limiter
	down         bool
	callCount    uint64
	refusedCount uint64
}

type value struct {
	document lavenderridge.Document
	changed  chan struct{}
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a server without documents that allows r read calls a second,
// or 2,000 if r is zero.
func NewServer(r lavenderridge.Rate) *Server {
	if r == 0 {
		r = defaultRate
	}
	return &Server{
		values:  make(map[lavenderridge.DocumentName]*value),
		limiter: rate.NewLimiter(rate.Limit(r), int(r)),
	}
}

// Publish stores the body b as the next version of the document d and returns this
// version.
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

// SetDown sets whether the server is down: it then responds 503 to every read.
func (s *Server) SetDown(d bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = d
}

// Calls returns the number n of read calls and the number r of those that were
// refused by the rate limit.
func (s *Server) Calls() (n, r uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.callCount, s.refusedCount
}

// value returns the value of the document d, which it creates if needed; s.mutex
// is held.
func (s *Server) value(d lavenderridge.DocumentName) *value {
	v, o := s.values[d]
	if !o {
		v = &value{document: lavenderridge.Document{Name: d}, changed: make(chan struct{})}
		s.values[d] = v
	}
	return v
}

// ServeHTTP implements the protocol of package confighttp, and PUT to publish a
// document.
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
		b, e := io.ReadAll(http.MaxBytesReader(w, q.Body, int64(4*lavenderridge.Mebibyte)))
		if e != nil {
			http.Error(w, e.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		_, _ = fmt.Fprintln(w, s.Publish(lavenderridge.DocumentName(d), b))
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

// get responds with the document d once its version is newer than the one in the
// parameter "after", or with 304 if that takes longer than the parameter "wait".
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

// admit counts a read call and returns the status 200, or that of its refusal.
func (s *Server) admit() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.callCount++
	if s.down {
		return http.StatusServiceUnavailable
	}
	if !s.limiter.Allow() {
		s.refusedCount++
		return http.StatusTooManyRequests
	}
	return http.StatusOK
}

// load returns the document d and a channel that is closed at its next change.
func (s *Server) load(d lavenderridge.DocumentName) (lavenderridge.Document, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := s.value(d)
	return v.document, v.changed
}
