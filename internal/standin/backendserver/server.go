package backendserver

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/backendhttp"
)

const maxBody = 8 << 20

// A Server answers each request after a set time and records its run.
type Server struct {
	instance lavenderridge.InstanceID
	slots    lavenderridge.Slots
	service  time.Duration

	mutex    sync.Mutex
	inFlight lavenderridge.Slots
	peak     lavenderridge.Slots
	runs     map[lavenderridge.RequestID]int
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a server of the instance i with n slots whose requests
// each take the time d.
func NewServer(i lavenderridge.InstanceID, n lavenderridge.Slots, d time.Duration) *Server {
	return &Server{instance: i, slots: n, service: d, runs: make(map[lavenderridge.RequestID]int)}
}

// Runs returns how often each request has run.
func (s *Server) Runs() map[lavenderridge.RequestID]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := make(map[lavenderridge.RequestID]int, len(s.runs))
	for k, v := range s.runs {
		m[k] = v
	}
	return m
}

// Peak returns the greatest number of requests that ran at once.
func (s *Server) Peak() lavenderridge.Slots {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.peak
}

// ServeHTTP answers the health endpoint and every other path.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" {
		s.health(w)
		return
	}
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, q.Body, maxBody))
	s.begin(lavenderridge.RequestID(q.Header.Get(backendhttp.RequestIDHeader)))
	defer s.end()
	t := time.NewTimer(s.service)
	defer t.Stop()
	select {
	case <-t.C:
		_, _ = fmt.Fprintf(w, "%s %s %s\n", s.instance, q.Method, q.URL.Path)
	case <-q.Context().Done():
	}
}

func (s *Server) begin(r lavenderridge.RequestID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight++
	s.peak = max(s.peak, s.inFlight)
	s.runs[r]++
}

func (s *Server) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.inFlight--
}

func (s *Server) health(w http.ResponseWriter) {
	s.mutex.Lock()
	h := lavenderridge.Health{Ready: true, InFlight: s.inFlight}
	s.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(h)
}
