package judge

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Sight is what one run of a daemon told of its versions.
type Sight struct {
	Instance    lavenderridge.InstanceID
	Incarnation lavenderridge.Incarnation
	Time        time.Time
	Versions    lavenderridge.Versions
}
