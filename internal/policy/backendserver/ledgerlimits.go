package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// The limits of DefaultLedgerLimits.
const (
	defaultEntries  = 1 << 17
	defaultBody     = 64 * lavenderridge.Kibibyte
	defaultBytes    = 24 * lavenderridge.Mebibyte
	defaultLifetime = 10*time.Minute + 2*time.Second
)

// LedgerLimits are the bounds of a ledger.
type LedgerLimits struct {
	// Entries bounds the number of entries.
	Entries int
	// Body bounds the size of one stored response, with its headers. A larger
	// one is not stored, and resends of its key get the outcome Unknown.
	Body lavenderridge.ByteCount
	// Bytes bounds the total size of the stored responses.
	Bytes lavenderridge.ByteCount
	// Lifetime is how long a key is kept after its time of issue or, without
	// one, after it was first seen. It covers the age from which the home
	// refuses a key plus the allowed clock skew.
	Lifetime time.Duration
}

// DefaultLedgerLimits returns the limits that daemons use.
func DefaultLedgerLimits() LedgerLimits {
	return LedgerLimits{Entries: defaultEntries, Body: defaultBody, Bytes: defaultBytes, Lifetime: defaultLifetime}
}
