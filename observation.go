package lavenderridge

import "time"

// An Observation is the outcome of one request at the daemon that received it
// from the caller.
type Observation struct {
	Time    time.Time
	Request RequestID
	Entry   EntryID
	// DataCentre is the data centre of that daemon.
	DataCentre DataCentreID
	// Versions are those of the snapshot under which the request ran.
	Versions Versions
	Latency  time.Duration
	Service  ServiceID
	// Customer is the customer whose key the request carried; empty if it had none.
	Customer CustomerID
	// Target is the instance that responded, and Attempt the number of the
	// attempt that it responded to; both are zero values after a refusal.
	Target  InstanceID
	Attempt Attempt
	// Status is the HTTP status of the response.
	Status int
	// Good is true if the request met its entry's objective.
	Good bool
	// Limited is the notice of a backend server that had no room for the request, so that
	// another one responded; nil if there was none.
	Limited *HeardNotice
	// Refusal is nil if the request got a response.
	Refusal *Refusal
}
