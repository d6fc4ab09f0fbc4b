package operatorhttp

import (
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
)

// An Option configures a Server.
type Option func(*Server)

// WithDecisions makes the server return the decisions of f at /decisions.
func WithDecisions(f func(q DecisionQuery) []lavenderridge.Decision) Option {
	return func(s *Server) { s.decisions = f }
}

// WithBurn makes the server return the counts of f at /burn.
func WithBurn(f func() BurnCounts) Option {
	return func(s *Server) { s.burn = f }
}

// WithMetrics makes the server return the metrics of the registry r at /metrics.
func WithMetrics(r metrics.Registry) Option {
	return func(s *Server) { s.metrics = r }
}
