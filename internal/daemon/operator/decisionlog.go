package operator

import (
	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
)

// A DecisionLog is a recorder that writes one log line for each decision and
// passes the decision to the next recorder.
type DecisionLog struct {
	next lavenderridge.Recorder
	log  *zap.Logger
}

var _ lavenderridge.Recorder = (*DecisionLog)(nil)

// NewDecisionLog returns a decision log that writes to l and passes decisions to
// n.
func NewDecisionLog(n lavenderridge.Recorder, l *zap.Logger) *DecisionLog {
	return &DecisionLog{next: n, log: l}
}

// Record implements lavenderridge.Recorder.
func (r *DecisionLog) Record(d lavenderridge.Decision) {
	r.log.Info(d.Event, zap.String("Subject", d.Subject), zap.String("Reason", d.Reason),
		zap.Uint64("Catalogue", uint64(d.Versions.Catalogue)), zap.Uint64("InstanceList", uint64(d.Versions.InstanceList)))
	r.next.Record(d)
}
