package lavenderridge

// A Quota bounds the requests of one customer at all daemons together.
type Quota struct {
	// Rate bounds the requests per second; zero means no bound.
	Rate Rate
	// Burst is the number of requests that may exceed the rate for a moment.
	Burst Requests
}
