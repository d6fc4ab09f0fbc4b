package lavenderridge

import "time"

// A Request is one caller's request on its way to a backend server.
type Request struct {
	ID      RequestID
	Attempt Attempt
	Entry   EntryID
	Service ServiceID
	// Caller is the service of the instance where the request originated.
	Caller ServiceID
	// CustomerKey is the key that the request carries; zero if it has none.
	CustomerKey CustomerKey
	// Customer is the customer that holds the key; empty if there is none.
	Customer CustomerID
	Class    Class
	Method   string
	Host     string
	// Path holds the path and the query.
	Path   string
	Header Header
	Body   []byte
	// Key is empty if the caller sent no key.
	Key        IdempotencyKey
	Idempotent bool
	// Deadline is a time on this process's clock; messages between daemons
	// contain the remaining time instead.
	Deadline time.Time
	Depth    Depth
	// NoRetry is true if a layer above is responsible for retrying this request.
	NoRetry bool
	// Objective is the time by which the response should have arrived; zero
	// means that there is no objective.
	Objective time.Time
	// Backend identifies the run of the backend server that must run the
	// request; empty allows any run.
	Backend BackendID
	// Target is the instance that is to run the request.
	Target InstanceID
	// Sender is the daemon that forwarded the request.
	Sender Sender
	// Heard is the last notice of the target's backend server that the sender has heard;
	// nil if it has heard none that matters.
	Heard *HeardNotice
	// Limited is the notice of an instance that the Router passed over because its backend
	// server has no room for the request; nil if there was none.
	Limited *HeardNotice
}
