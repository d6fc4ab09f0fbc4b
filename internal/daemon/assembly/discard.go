package assembly

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// discard implements interfaces that only record something, and records nothing.
type discard struct{}

var (
	_ lavenderridge.Recorder     = discard{}
	_ lavenderridge.Observer     = discard{}
	_ lavenderridge.SuspectStore = discard{}
	_ lavenderridge.Tracker      = discard{}
)

// Record implements lavenderridge.Recorder.
func (discard) Record(lavenderridge.Decision) {}

// Observe implements lavenderridge.Observer.
func (discard) Observe(lavenderridge.Observation) {}

// Suspects implements lavenderridge.SuspectStore.
func (discard) Suspects(time.Time) []lavenderridge.Suspect { return nil }

// Merge implements lavenderridge.SuspectStore.
func (discard) Merge([]lavenderridge.Suspect, time.Time) {}

// Begin implements lavenderridge.Tracker.
func (discard) Begin(lavenderridge.ServiceID, lavenderridge.InstanceID, time.Time) *lavenderridge.HeardNotice {
	return nil
}

// Noticed implements lavenderridge.Tracker.
func (discard) Noticed(lavenderridge.ServiceID, lavenderridge.InstanceID, lavenderridge.HeardNotice, time.Time) {
}

// Limited implements lavenderridge.Tracker.
func (discard) Limited(lavenderridge.ServiceID, lavenderridge.InstanceID, lavenderridge.BackendID, lavenderridge.Class, time.Time) {
}

// Answered implements lavenderridge.Tracker.
func (discard) Answered(lavenderridge.ServiceID, lavenderridge.InstanceID, lavenderridge.EntryID, int, lavenderridge.ByteCount) {
}

// End implements lavenderridge.Tracker.
func (discard) End(lavenderridge.ServiceID, lavenderridge.InstanceID, lavenderridge.Load, *lavenderridge.Refusal, time.Time) {
}
