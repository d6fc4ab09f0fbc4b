package lavenderridge

// Limits bounds the load that an entry accepts at one daemon.
type Limits struct {
	// Concurrency bounds the requests in flight; zero means no bound.
	Concurrency Slots
	// Rate bounds the requests per second; zero means no bound.
	Rate Rate
	// Attempts bounds the attempts for one request; zero means the default.
	Attempts Attempt
}
