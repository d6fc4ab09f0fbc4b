package lavenderridge

// A Load is what a backend server bears at one moment, as its daemon counts.
type Load struct {
	InFlight Slots
	Queued   Slots
	// Limit is the number of requests that the daemon admits at once now.
	Limit Slots
}
