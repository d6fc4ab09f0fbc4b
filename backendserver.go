package lavenderridge

import "context"

// A BackendServer is the one backend server that a daemon runs beside.
type BackendServer interface {
	Handler
	// Probe queries the backend server's health endpoint. The response may be
	// out of date.
	Probe(c context.Context) (Health, error)
	// Close closes idle connections.
	Close() error
}
