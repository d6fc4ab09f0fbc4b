package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// An OwnerOption configures an OwnerHandler.
type OwnerOption func(*OwnerHandler)

// WithClock makes the handler use the clock k; the default is the system clock.
func WithClock(k lavenderridge.Clock) OwnerOption {
	return func(h *OwnerHandler) { h.clock = k }
}

// WithRecorder makes the handler record its decisions with r.
func WithRecorder(r lavenderridge.Recorder) OwnerOption {
	return func(h *OwnerHandler) { h.recorder = r }
}

// WithReadiness makes the handler refuse requests while r is not ready.
func WithReadiness(r lavenderridge.Readiness) OwnerOption {
	return func(h *OwnerHandler) { h.readiness = r }
}

// WithFreshness makes the handler send no request to the backend server that l refuses.
func WithFreshness(l *configservice.FreshnessLimit) OwnerOption {
	return func(h *OwnerHandler) { h.freshness = l }
}

// WithLimiterOptions passes o to the handler's limiter.
func WithLimiterOptions(o ...backendserver.LimiterOption) OwnerOption {
	return func(h *OwnerHandler) { h.limiterOptions = o }
}

// WithExclusiveWait sets how long a suspect waits while another suspect runs
// exclusively; the default is one second.
func WithExclusiveWait(d time.Duration) OwnerOption {
	return func(h *OwnerHandler) { h.exclusiveWait = d }
}
