package judge

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Send is one request of a caller at one daemon.
type Send struct {
	ID lavenderridge.RequestID
	// Key is empty for requests without one.
	Key    lavenderridge.IdempotencyKey
	Safe   bool
	Daemon lavenderridge.InstanceID
	Begun  time.Time
	Ended  time.Time
	Result Result
}
