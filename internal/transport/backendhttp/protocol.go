package backendhttp

import (
	"strconv"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// Header fields of a request to the backend server.
const (
	// RequestIDHeader carries the request's ID.
	RequestIDHeader = "X-Request-Id"
	// TimeoutHeader carries the time left, in milliseconds.
	TimeoutHeader = "X-Request-Timeout-Ms"
	// DepthHeader carries the number of services passed through.
	DepthHeader = "X-Request-Depth"
	// NoRetryHeader is "true" if a service earlier in the call chain does the
	// retries.
	NoRetryHeader = "X-Request-No-Retry"
	// CustomerHeader carries the name of the customer; without it, there is none.
	CustomerHeader = "X-Customer"
)

// Header fields of a response of the backend server.
const (
	// LimitHeader carries the number of requests per second that the backend server
	// takes from all daemons together; without it, there is no such limit.
	LimitHeader = "X-Backend-Limit"
	// LeavingHeader is "1" if the backend server is about to end.
	LeavingHeader = "X-Backend-Leaving"
)

// A Protocol is the system's own protocol with backend servers. They report
// their health in the body of the response to a health check.
type Protocol struct{}

var _ lavenderridge.BackendProtocol = Protocol{}

// WriteRequest implements lavenderridge.BackendProtocol.
func (Protocol) WriteRequest(h lavenderridge.Header, r *lavenderridge.Request, d time.Duration) {
	h[RequestIDHeader] = []string{string(r.ID)}
	h[DepthHeader] = []string{strconv.Itoa(int(r.Depth))}
	if r.NoRetry {
		h[NoRetryHeader] = []string{"true"}
	}
	if r.Customer != "" {
		h[CustomerHeader] = []string{string(r.Customer)}
	}
	if d > 0 {
		h[TimeoutHeader] = []string{strconv.FormatInt(d.Milliseconds(), 10)}
	}
}

// Matches implements lavenderridge.BackendProtocol.
func (Protocol) Matches(*lavenderridge.Request, lavenderridge.Header) bool {
	return true
}

// NotRun implements lavenderridge.BackendProtocol. It always reports false,
// because a refusal by the backend server is passed on as its response.
func (Protocol) NotRun(int, lavenderridge.Header) (lavenderridge.Reason, bool) {
	return "", false
}

// ImpliesNotRun implements lavenderridge.BackendProtocol.
func (Protocol) ImpliesNotRun(int) bool {
	return false
}

// Notice implements lavenderridge.BackendProtocol.
func (Protocol) Notice(h lavenderridge.Header) lavenderridge.Notice {
	return lavenderridge.NewNotice(h[LimitHeader], h[LeavingHeader])
}

// Health implements lavenderridge.BackendProtocol.
func (Protocol) Health(int, lavenderridge.Header) (lavenderridge.Health, bool) {
	return lavenderridge.Health{}, false
}

// AllowsUnframed implements lavenderridge.BackendProtocol.
func (Protocol) AllowsUnframed() bool {
	return false
}
