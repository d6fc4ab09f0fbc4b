package callerhttp

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/lavenderridge/lavenderridge"
)

// Header fields of the caller protocol.
const (
	RequestIDHeader      = "X-Request-Id"
	IdempotencyKeyHeader = "Idempotency-Key"
	TimeoutHeader        = "X-Request-Timeout-Ms"
	DepthHeader          = "X-Request-Depth"
	OutcomeHeader        = "X-Refusal-Outcome"
	ReasonHeader         = "X-Refusal-Reason"
	RetriedHeader        = "X-Refusal-Retried"
	// TargetHeader names the instance whose daemon ran the request.
	TargetHeader = "X-Served-By"
	// NoRetryHeader is "true" if the caller, or a service earlier in the call
	// chain, does the retries.
	NoRetryHeader = "X-Request-No-Retry"
	// CustomerKeyHeader carries a customer's key.
	CustomerKeyHeader = "X-Customer-Key"
	// CustomerHeader is the field in which a backend server receives the name of the
	// customer.
	CustomerHeader = "X-Customer"
)

const maxRequestIDLength = 128 // bytes

// A Protocol is the system's own protocol with callers.
type Protocol struct{}

var _ lavenderridge.CallerProtocol = Protocol{}

// ReadRequest implements lavenderridge.CallerProtocol.
func (Protocol) ReadRequest(r *lavenderridge.Request, t time.Time) error {
	h := r.Header
	r.ID = lavenderridge.RequestID(h.Get(RequestIDHeader))
	r.Key = lavenderridge.IdempotencyKey(h.Get(IdempotencyKeyHeader))
	r.NoRetry = h.Get(NoRetryHeader) == "true"
	if v := h[CustomerKeyHeader]; len(v) == 1 && v[0] != "" {
		r.CustomerKey = lavenderridge.NewCustomerKey([]byte(v[0]))
	}
	if r.ID == "" {
		r.ID = lavenderridge.RequestID(uuid.NewString())
	}
	if len(r.ID) > maxRequestIDLength {
		return badHeader(RequestIDHeader, "longer than 128 bytes")
	}
	if len(h[IdempotencyKeyHeader]) > 1 {
		return badHeader(IdempotencyKeyHeader, "sent more than once")
	}
	if v := h.Get(TimeoutHeader); v != "" {
		n, e := strconv.ParseInt(v, 10, 32)
		if e != nil || n <= 0 {
			return badHeader(TimeoutHeader, v)
		}
		r.Deadline = t.Add(time.Duration(n) * time.Millisecond)
	}
	if v := h.Get(DepthHeader); v != "" {
		n, e := strconv.ParseUint(v, 10, 8)
		if e != nil || n == math.MaxUint8 {
			return badHeader(DepthHeader, v)
		}
		r.Depth = lavenderridge.Depth(n)
	}
	return nil
}

func badHeader(k, v string) error {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonBadRequest, fmt.Sprintf("bad %s header: %q", k, v))
}

// CustomerFields implements lavenderridge.CallerProtocol.
func (Protocol) CustomerFields() []string {
	return []string{CustomerKeyHeader, CustomerHeader}
}

// WriteResponse implements lavenderridge.CallerProtocol.
func (Protocol) WriteResponse(h lavenderridge.Header, p *lavenderridge.Response) {
	h[RequestIDHeader] = []string{string(p.ID)}
	h[TargetHeader] = []string{string(p.Sender.Instance)}
}

// WriteRefusal implements lavenderridge.CallerProtocol.
func (Protocol) WriteRefusal(h lavenderridge.Header, d lavenderridge.RequestID, r *lavenderridge.Refusal) int {
	if d != "" {
		h[RequestIDHeader] = []string{string(d)}
	}
	h[OutcomeHeader] = []string{r.Outcome.String()}
	h[ReasonHeader] = []string{string(r.Reason)}
	if r.Retried {
		h[RetriedHeader] = []string{"true"}
	}
	if r.RetryAfter > 0 {
		h["Retry-After"] = []string{strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds())))}
	}
	return refusalStatus(r)
}

func refusalStatus(r *lavenderridge.Refusal) int {
	switch r.Reason {
	case lavenderridge.ReasonNoRoute:
		return http.StatusNotFound
	case lavenderridge.ReasonBadRequest:
		return http.StatusBadRequest
	case lavenderridge.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case lavenderridge.ReasonUnauthenticated:
		return http.StatusUnauthorized
	case lavenderridge.ReasonLimit, lavenderridge.ReasonQuota:
		return http.StatusTooManyRequests
	case lavenderridge.ReasonDeadline:
		return http.StatusGatewayTimeout
	case lavenderridge.ReasonBadKey, lavenderridge.ReasonKeyInUse:
		return http.StatusConflict
	}
	if r.Outcome == lavenderridge.OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
