package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Run is one run of a request at the stand-in.
type Run struct {
	Request lavenderridge.RequestID
	Key     lavenderridge.IdempotencyKey
	Path    string
	// Boot counts the starts of the stand-in, from one.
	Boot  int
	Begun time.Time
	Ended time.Time
	// Alone tells that no other request ran when this one began.
	Alone bool
	State RunState
}
