package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// An Option changes a Server.
type Option func(*Server)

// WithColdStart makes the server bear only n requests at once for the time d
// after each start, and fail as f says under more.
func WithColdStart(n lavenderridge.Slots, d time.Duration, f Failure) Option {
	return func(s *Server) { s.coldSlots, s.coldTime, s.coldFailure = n, d, f }
}

// WithSlowdown makes each request above n in flight add the time d to the time
// that requests take.
func WithSlowdown(n lavenderridge.Slots, d time.Duration) Option {
	return func(s *Server) { s.swift, s.slowdown = n, d }
}

// WithRestartTime sets how long the server is down after a crash of its own.
func WithRestartTime(d time.Duration) Option {
	return func(s *Server) { s.restartTime = d }
}

// WithHealthLag makes the health endpoint tell what was so d ago.
func WithHealthLag(d time.Duration) Option {
	return func(s *Server) { s.healthLag = d }
}

// WithHealth makes the health endpoint answer h at all times.
func WithHealth(h lavenderridge.Health) Option {
	return func(s *Server) { s.healthAnswer.Store(&h) }
}
