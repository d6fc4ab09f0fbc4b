package callerhttp

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// An Option changes a Server.
type Option func(*Server)

// WithProtocol makes the server speak p in place of the system's own protocol.
func WithProtocol(p lavenderridge.CallerProtocol) Option {
	return func(s *Server) { s.protocol = p }
}

// WithCaller makes the server take requests as those of the service that f
// returns.
func WithCaller(f func() lavenderridge.ServiceID) Option {
	return func(s *Server) { s.caller = f }
}

// WithStopDelay makes the server go on for the time d after the stop has begun,
// so that callers hear of it before their connections end.
func WithStopDelay(d time.Duration) Option {
	return func(s *Server) { s.stopDelay = d }
}

// WithLimits makes the server keep the limits that f returns, where they are
// below its own.
func WithLimits(f func() lavenderridge.CallerLimits) Option {
	return func(s *Server) { s.limits = f }
}
