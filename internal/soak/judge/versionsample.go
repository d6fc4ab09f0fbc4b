package judge

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A VersionSample is a sample of the versions that one incarnation of a daemon
// reported.
type VersionSample struct {
	Instance    lavenderridge.InstanceID
	Incarnation lavenderridge.Incarnation
	Time        time.Time
	Versions    lavenderridge.Versions
}
