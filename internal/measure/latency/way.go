package latency

// A Way is the route of a call from the caller to the backend server.
type Way string

// The ways that are measured.
const (
	// Direct is the route without a daemon. It is the baseline.
	Direct Way = "direct"
	// OneHop is the route through the backend server's own daemon.
	OneHop Way = "one hop"
	// TwoHops is the route through the caller's daemon and, over HTTP/2, the backend
	// server's daemon.
	TwoHops Way = "two hops"
)
