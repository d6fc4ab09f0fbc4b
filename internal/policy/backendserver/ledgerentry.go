package backendserver

import (
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A LedgerEntry is what the ledger holds of one key. Its outcome is an atomic
// pointer: nil while the run goes on in this process.
type LedgerEntry struct {
	key         lavenderridge.IdempotencyKey
	fingerprint lavenderridge.Fingerprint
	expires     time.Time
	outcome     atomic.Pointer[LedgerOutcome]
	finished    chan struct{}
	handed      atomic.Pointer[lavenderridge.InstanceID]
}

func newLedgerEntry(k lavenderridge.IdempotencyKey, f lavenderridge.Fingerprint, t time.Time) *LedgerEntry {
	return &LedgerEntry{key: k, fingerprint: f, expires: t, finished: make(chan struct{})}
}

// Key returns the key.
func (e *LedgerEntry) Key() lavenderridge.IdempotencyKey {
	return e.key
}

// Finished returns a channel that is closed once the run in this process has
// ended.
func (e *LedgerEntry) Finished() <-chan struct{} {
	return e.finished
}

// Outcome returns the outcome, or nil while the run goes on in this process.
func (e *LedgerEntry) Outcome() *LedgerOutcome {
	return e.outcome.Load()
}

func (e *LedgerEntry) finish(o *LedgerOutcome) {
	e.handed.Store(nil)
	e.outcome.Store(o)
	close(e.finished)
}

// record returns the entry as it is given to another home.
func (e *LedgerEntry) record() lavenderridge.LedgerRecord {
	r := lavenderridge.LedgerRecord{
		Key: e.key, State: lavenderridge.LedgerRunning, Fingerprint: e.fingerprint, Expires: e.expires,
	}
	if o := e.outcome.Load(); o != nil {
		r.State, r.Response = o.State, o.Response
	}
	return r
}
