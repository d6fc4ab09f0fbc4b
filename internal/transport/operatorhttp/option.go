package operatorhttp

import (
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
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

// WithClients makes the server keep its connections in t. By default there is no bound.
func WithClients(t *operator.ClientTable) Option {
	return func(s *Server) { s.clients = t }
}

// WithMaxFields bounds the fields in the header of a request; zero means no bound.
func WithMaxFields(n int) Option {
	return func(s *Server) { s.maxFields = n }
}
