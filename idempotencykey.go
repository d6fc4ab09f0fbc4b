package lavenderridge

import (
	"time"

	"github.com/google/uuid"
)

// An IdempotencyKey identifies a non-idempotent request across resends. A
// caller should send a UUID of version 7, which holds its time of issue.
type IdempotencyKey string

// Issued returns the time of issue that the key holds, in whole milliseconds.
// It reports false for a key that is not a UUID of version 7.
func (k IdempotencyKey) Issued() (time.Time, bool) {
	u, e := uuid.Parse(string(k))
	if e != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	s, n := u.Time().UnixTime()
	return time.Unix(s, n).Truncate(time.Millisecond), true
}
