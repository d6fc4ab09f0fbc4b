package backendserver

import (
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A LedgerEntry is the ledger's entry for one idempotency key. Its outcome is
// nil while the request runs in this process.
type LedgerEntry struct {
	key         lavenderridge.IdempotencyKey
	fingerprint lavenderridge.Fingerprint
	expires     time.Time
	outcome     atomic.Pointer[LedgerOutcome]
	finished    chan struct{}
	handedTo    atomic.Pointer[lavenderridge.InstanceID] // home that the current state was handed to; nil for none
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

// Outcome returns the outcome, or nil while the request runs in this process.
func (e *LedgerEntry) Outcome() *LedgerOutcome {
	return e.outcome.Load()
}

// finish stores the outcome o and ends the run. The state has changed, so it
// has to be handed over again.
func (e *LedgerEntry) finish(o *LedgerOutcome) {
	e.handedTo.Store(nil)
	e.outcome.Store(o)
	close(e.finished)
}

// record returns the entry as a record for another home.
func (e *LedgerEntry) record() lavenderridge.LedgerRecord {
	r := lavenderridge.LedgerRecord{
		Key: e.key, State: lavenderridge.LedgerRunning, Fingerprint: e.fingerprint, Expires: e.expires,
	}
	if o := e.outcome.Load(); o != nil {
		r.State, r.Response = o.State, o.Response
	}
	return r
}
