package assembly

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// lateSuspects passes calls on to the suspect store of the owner part, which
// is made after the configuration part.
type lateSuspects struct {
	daemon *Daemon
}

var _ lavenderridge.SuspectStore = lateSuspects{}

// Suspects implements lavenderridge.SuspectStore.
func (l lateSuspects) Suspects(t time.Time) []lavenderridge.Suspect {
	return l.daemon.owner.suspects.Suspects(t)
}

// Merge implements lavenderridge.SuspectStore.
func (l lateSuspects) Merge(s []lavenderridge.Suspect, t time.Time) {
	l.daemon.owner.suspects.Merge(s, t)
}
