package latency

// A Way is a way from a caller to a backend server.
type Way string

// The ways that are measured in turn.
const (
	// Direct goes to the backend server without a daemon.
	Direct Way = "direct"
	// OneHop goes through the daemon beside the backend server.
	OneHop Way = "one hop"
	// TwoHops goes through a daemon and, over HTTP/2, through another.
	TwoHops Way = "two hops"
)
