package operatorhttp

import (
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
)

// An Option changes a Server.
type Option func(*Server)

// WithDecisions makes the server answer /decisions from f.
func WithDecisions(f func(q DecisionQuery) []lavenderridge.Decision) Option {
	return func(s *Server) { s.decisions = f }
}

// WithBurn makes the server answer /burn from f.
func WithBurn(f func() Burn) Option {
	return func(s *Server) { s.burn = f }
}

// WithMetrics makes the server answer /metrics from the registry r.
func WithMetrics(r metrics.Registry) Option {
	return func(s *Server) { s.metrics = r }
}
