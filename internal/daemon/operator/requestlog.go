package operator

import (
	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
)

// A RequestLog is an observer that writes one log line for each caller's request
// that has ended.
type RequestLog struct {
	log *zap.Logger
}

var _ lavenderridge.Observer = (*RequestLog)(nil)

// NewRequestLog returns a request log that writes to l.
func NewRequestLog(l *zap.Logger) *RequestLog {
	return &RequestLog{log: l}
}

// Observe implements lavenderridge.Observer.
func (r *RequestLog) Observe(o lavenderridge.Observation) {
	f := []zap.Field{
		zap.String("Request", string(o.Request)), zap.String("Entry", string(o.Entry)), zap.String("Service", string(o.Service)),
		zap.Int64("LatencyMicroseconds", o.Latency.Microseconds()),
		zap.Uint64("Catalogue", uint64(o.Versions.Catalogue)), zap.Uint64("InstanceList", uint64(o.Versions.InstanceList)),
	}
	if o.Customer != "" {
		f = append(f, zap.String("Customer", string(o.Customer)))
	}
	if v := o.Refusal; v != nil {
		r.log.Info("RequestRefused", append(f,
			zap.String("Reason", string(v.Reason)), zap.String("Outcome", v.Outcome.String()), zap.String("Place", string(v.Place)),
			zap.Duration("RetryAfter", v.RetryAfter), zap.String("Detail", v.Detail))...)
		return
	}
	if v := o.Limited; v != nil {
		f = append(f, zap.Float64("MovedByLimit", float64(v.Limit)), zap.Int64("LimitAgeMilliseconds", v.Age.Milliseconds()), zap.String("LimitHeardBy", string(v.Place)))
	}
	r.log.Info("RequestAnswered", append(f,
		zap.Int("Status", o.Status), zap.String("Target", string(o.Target)), zap.Uint16("Attempt", uint16(o.Attempt)))...)
}
