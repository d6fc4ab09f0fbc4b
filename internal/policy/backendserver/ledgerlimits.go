package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// The default limits of a ledger.
const (
	defaultEntries  = 1 << 17
	defaultBody     = 64 * lavenderridge.Kibibyte
	defaultBytes    = 24 * lavenderridge.Mebibyte
	defaultLifetime = 10*time.Minute + 2*time.Second
)

// LedgerLimits bound what a ledger keeps.
type LedgerLimits struct {
	// Entries bounds the keys that have not expired.
	Entries int
	// Body bounds one stored response. A greater one is not kept, and resends
	// of its key are answered Unknown.
	Body lavenderridge.ByteCount
	// Bytes bounds the stored responses together.
	Bytes lavenderridge.ByteCount
	// Lifetime is how long a key is kept after its time of issue or, without
	// one, after it was first seen. It covers the age at which the home
	// refuses a key and the allowed clock skew.
	Lifetime time.Duration
}

// DefaultLedgerLimits returns the limits that daemons use.
func DefaultLedgerLimits() LedgerLimits {
	return LedgerLimits{Entries: defaultEntries, Body: defaultBody, Bytes: defaultBytes, Lifetime: defaultLifetime}
}
