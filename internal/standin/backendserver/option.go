package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// An Option configures a Server.
type Option func(*Server)

// WithColdStart limits the server to n concurrent requests for the duration d
// after each start; the failure f is the reaction to more.
func WithColdStart(n lavenderridge.Slots, d time.Duration, f Failure) Option {
	return func(s *Server) { s.coldSlots, s.coldTime, s.coldFailure = n, d, f }
}

// WithSlowdown makes requests slower under load: each request in flight above n
// adds d to the service time.
func WithSlowdown(n lavenderridge.Slots, d time.Duration) Option {
	return func(s *Server) { s.slowdownThreshold, s.slowdown = n, d }
}

// WithRestartTime sets how long the server is down after a crash that a request
// or FailureCrash causes; the default is 300 ms.
func WithRestartTime(d time.Duration) Option {
	return func(s *Server) { s.restartTime = d }
}

// WithHealthLag makes the health endpoint report the state of the server as it was
// d ago.
func WithHealthLag(d time.Duration) Option {
	return func(s *Server) { s.healthLag = d }
}

// WithHealth makes the health endpoint always report h.
func WithHealth(h lavenderridge.Health) Option {
	return func(s *Server) { s.fixedHealth.Store(&h) }
}
