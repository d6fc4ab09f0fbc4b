package caller

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

const (
	// maxKeySkew is how far a caller's clock may be ahead. Homes allow the same.
	maxKeySkew = peer.DefaultSkew
	maxKeySize = 255
)

// CheckKey returns a refusal if the key is longer than 255 bytes or was issued
// more than maxKeySkew after the time t.
func CheckKey(k lavenderridge.IdempotencyKey, t time.Time) error {
	if len(k) > maxKeySize {
		return lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadKey, "idempotency key too long")
	}
	if i, o := k.Issued(); o && i.After(t.Add(maxKeySkew)) {
		return lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonBadKey, "idempotency key issued in the future")
	}
	return nil
}
