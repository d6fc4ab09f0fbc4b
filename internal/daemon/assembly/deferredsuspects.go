package assembly

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// deferredSuspects forwards calls to the suspect store of the owner part, which is
// created after the configuration part that uses the store.
type deferredSuspects struct {
	daemon *Daemon
}

var _ lavenderridge.SuspectStore = deferredSuspects{}

// Suspects implements lavenderridge.SuspectStore.
func (l deferredSuspects) Suspects(t time.Time) []lavenderridge.Suspect {
	return l.daemon.owner.suspects.Suspects(t)
}

// Merge implements lavenderridge.SuspectStore.
func (l deferredSuspects) Merge(s []lavenderridge.Suspect, t time.Time) {
	l.daemon.owner.suspects.Merge(s, t)
}
