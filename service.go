package lavenderridge

import "time"

// A Service describes the capacity of each backend server of a service.
type Service struct {
	ID ServiceID
	// Slots bounds the requests that one backend server runs concurrently.
	Slots Slots
	// Connections bounds the open connections to one backend server.
	Connections Connections
	// Queue bounds the requests that wait for a slot.
	Queue Slots
	// HealthPath is the path of a backend server's health endpoint; empty means
	// the default path.
	HealthPath string
	// ColdRate bounds the requests per second to a cold backend server; zero
	// means no such bound.
	ColdRate Rate
	// ColdStart is the duration for which a backend server is cold after its
	// start.
	ColdStart time.Duration
}
