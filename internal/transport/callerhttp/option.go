package callerhttp

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// An Option configures a Server.
type Option func(*Server)

// WithProtocol makes the server use p in place of the system's own protocol.
func WithProtocol(p lavenderridge.CallerProtocol) Option {
	return func(s *Server) { s.protocol = p }
}

// WithCaller makes the server set the service that f returns as the caller of
// all requests.
func WithCaller(f func() lavenderridge.ServiceID) Option {
	return func(s *Server) { s.callerService = f }
}

// WithStopDelay makes the server continue to serve for d after its shutdown has
// begun. Its responses then carry Connection: close, so that callers switch to
// other connections before theirs are closed.
func WithStopDelay(d time.Duration) Option {
	return func(s *Server) { s.stopDelay = d }
}

// WithLimits makes the server apply the body limit that f returns if it is
// lower than its own.
func WithLimits(f func() lavenderridge.CallerLimits) Option {
	return func(s *Server) { s.limits = f }
}

// WithBodies makes the server take the memory for the bodies of requests and responses
// out of b. By default there is no bound.
func WithBodies(b *operator.BodyBudget) Option {
	return func(s *Server) { s.bodies = b }
}

// WithClients makes the server keep its connections in t. By default there is no bound.
func WithClients(t *operator.ClientTable) Option {
	return func(s *Server) { s.clients = t }
}

// WithMaxFields bounds the fields in the header of a request; zero means no bound.
func WithMaxFields(n int) Option {
	return func(s *Server) { s.maxFields = n }
}

// WithSendPause sets how long a caller may leave a piece of a response; the default is
// 30 s.
func WithSendPause(d time.Duration) Option {
	return func(s *Server) { s.sendPause = d }
}
