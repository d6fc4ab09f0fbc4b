package lavenderridge

import "context"

// A BackendServer is the one backend server that a daemon runs beside.
type BackendServer interface {
	Handler
	// Probe asks the backend server's health endpoint. Its answer may lag.
	Probe(c context.Context) (Health, error)
	// Close ends idle connections.
	Close() error
}
