package lavenderridge

import "time"

// A Service describes what each of its backend servers bears.
type Service struct {
	ID ServiceID
	// Slots bounds the requests that one backend server runs at once.
	Slots Slots
	// Connections bounds the open connections to one backend server.
	Connections Connections
	// Queue bounds the requests that wait for a slot.
	Queue Slots
	// HealthPath is where a backend server tells its health; empty stands for
	// the default path.
	HealthPath string
	// ColdRate bounds the requests in a second that a cold backend server
	// bears; zero tells that there is no such bound.
	ColdRate Rate
	// ColdStart is how long a backend server is cold after its start.
	ColdStart time.Duration
}
