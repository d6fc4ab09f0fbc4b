package caller

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

const (
	// maxKeySkew is how far ahead a caller's clock may run, as homes see it.
	maxKeySkew = peer.DefaultSkew
	maxKeySize = 255
)

// CheckKey refuses a key that is too long or that was issued in the future.
func CheckKey(k lavenderridge.IdempotencyKey, t time.Time) error {
	if len(k) > maxKeySize {
		return lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadKey, "idempotency key too long")
	}
	if i, o := k.Issued(); o && i.After(t.Add(maxKeySkew)) {
		return lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadKey, "idempotency key issued in the future")
	}
	return nil
}
