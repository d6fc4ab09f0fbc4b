package lavenderridge

import "time"

// A Clock tells the time. Its readings carry a monotonic part.
type Clock interface {
	Now() time.Time
}
