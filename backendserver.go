package lavenderridge

import "context"

// A BackendServer is the one backend server that a daemon runs beside.
type BackendServer interface {
	Handler
	// Probe queries the backend server's health endpoint. The response may be
	// out of date.
	Probe(c context.Context) (Health, error)
	// Recheck is like Probe, but may use a connection that is open already. Its failure
	// says nothing about the backend server.
	Recheck(c context.Context) (Health, error)
	// Close closes idle connections.
	Close() error
}
