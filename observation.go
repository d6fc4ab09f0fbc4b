package lavenderridge

import "time"

// An Observation is the outcome of one caller's request at the daemon that the
// caller met.
type Observation struct {
	Time    time.Time
	Request RequestID
	Entry   EntryID
	// DataCentre is that of the daemon that the caller met.
	DataCentre DataCentreID
	// Versions are those of the snapshot under which the request ran.
	Versions Versions
	Latency  time.Duration
	Service  ServiceID
	// Target is the instance that answered, and Attempt the number of the
	// attempt that it answered; both are empty after a refusal.
	Target  InstanceID
	Attempt Attempt
	// Status is that of the response.
	Status int
	// Good tells that the request met its entry's objective.
	Good bool
	// Refusal is nil when the request got a response.
	Refusal *Refusal
}
