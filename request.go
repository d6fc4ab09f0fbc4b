package lavenderridge

import "time"

// A Request is one caller's request on its way to a backend server.
type Request struct {
	ID      RequestID
	Attempt Attempt
	Entry   EntryID
	Service ServiceID
	// Caller is the service beside whose backend server the request began.
	Caller ServiceID
	Class  Class
	Method string
	Host   string
	// Path holds the path and the query.
	Path   string
	Header Header
	Body   []byte
	// Key is empty when the caller sent none.
	Key        IdempotencyKey
	Idempotent bool
	// Deadline is on this process's clock; messages carry the time left.
	Deadline time.Time
	Depth    Depth
	// NoRetry tells that a layer above owns the retries of this request.
	NoRetry bool
	// Objective is when the response should have come; zero stands for none.
	Objective time.Time
	// Backend is the run of the backend server that is to run the request;
	// empty stands for any.
	Backend BackendID
	// Target is the instance that is to run the request.
	Target InstanceID
	// Sender is the daemon that forwarded the request.
	Sender Sender
}
