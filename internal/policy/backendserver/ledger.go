package backendserver

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Ledger remembers the keyed requests that this home has run or that earlier
// homes handed over. It is bounded, lives in memory and is safe for concurrent
// use; reads take no lock. An entry that has not expired is never dropped for
// another one.
type Ledger struct {
	limits  LedgerLimits
	rules   ledgerRules
	entries sync.Map // of lavenderridge.IdempotencyKey to *LedgerEntry
	size    atomic.Int64
	bytes   atomic.Int64
	floor   atomic.Int64 // the time of the latest sweep, in nanoseconds
}

// NewLedger returns an empty ledger.
func NewLedger(l LedgerLimits) *Ledger {
	return &Ledger{limits: l}
}

// Size returns the number of entries.
func (l *Ledger) Size() int {
	return int(l.size.Load())
}

// Bytes returns the size of the stored responses.
func (l *Ledger) Bytes() lavenderridge.ByteCount {
	return lavenderridge.ByteCount(l.bytes.Load())
}

// Admit decides on a keyed request at t: it returns the entry of its key and
// whether the caller is to run the request, and then to Finish the entry. The
// function f gives the authority in force. The error is a Refusal.
//
// A decision taken under an old membership could cross the acknowledgement of
// a newer one. No lock is needed: Admit first stores the entry and then asks
// the authority in force once more, while an acknowledgement first puts the
// new authority in force and then reads the entries. Whichever comes second
// sees what the first one did, so the run is either given up here or contained
// in the acknowledgement.
func (l *Ledger) Admit(f func() lavenderridge.KeyAuthority, k lavenderridge.IdempotencyKey, p lavenderridge.Fingerprint, v lavenderridge.Versions, t time.Time) (*LedgerEntry, bool, error) {
	if o := time.Unix(0, l.floor.Load()); o.After(t) && !l.rules.noFloor {
		t = o
	}
	if e := l.find(k, t); e != nil {
		return l.join(e, p)
	}
	if e := f().Decide(k, v, t); e != nil {
		return nil, false, e
	}
	e, o := l.insert(k, p, t)
	if e == nil {
		return nil, false, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonLedgerFull, "the ledger is full of unexpired keys")
	}
	if o {
		return l.join(e, p)
	}
	if x := f().Decide(k, v, t); x != nil && !l.rules.noRecheck {
		l.remove(e, &LedgerOutcome{})
		return nil, false, x
	}
	return e, true, nil
}

// find returns the entry of the key, if it may still be used at t.
func (l *Ledger) find(k lavenderridge.IdempotencyKey, t time.Time) *LedgerEntry {
	v, o := l.entries.Load(k)
	if !o {
		return nil
	}
	e := v.(*LedgerEntry)
	if l.rules.forgetRunning && e.Outcome() == nil {
		l.remove(e, &LedgerOutcome{})
		return nil
	}
	if e.Outcome() != nil && !t.Before(e.expires) {
		return nil
	}
	return e
}

func (l *Ledger) join(e *LedgerEntry, p lavenderridge.Fingerprint) (*LedgerEntry, bool, error) {
	if e.fingerprint != p && !l.rules.noFingerprint {
		return nil, false, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonKeyInUse, "the key belongs to another request")
	}
	return e, false, nil
}

// insert returns a new entry, or the one that is there already and true. It
// returns nil when the ledger is full.
func (l *Ledger) insert(k lavenderridge.IdempotencyKey, p lavenderridge.Fingerprint, t time.Time) (*LedgerEntry, bool) {
	if l.size.Add(1) > int64(l.limits.Entries) && !l.makeRoom() {
		l.size.Add(-1)
		return nil, false
	}
	n := newLedgerEntry(k, p, l.expiry(k, t))
	v, o := l.entries.LoadOrStore(k, n)
	if o {
		l.size.Add(-1)
	}
	return v.(*LedgerEntry), o
}

// expiry returns when a key first seen at t may be dropped.
func (l *Ledger) expiry(k lavenderridge.IdempotencyKey, t time.Time) time.Time {
	if i, o := k.Issued(); o {
		t = i
	}
	return t.Add(l.limits.Lifetime)
}

// makeRoom drops an entry that has not expired. It is never done but by tests.
func (l *Ledger) makeRoom() bool {
	if !l.rules.evict {
		return false
	}
	l.entries.Range(func(_, v any) bool {
		e := v.(*LedgerEntry)
		if e.Outcome() == nil {
			return true
		}
		l.drop(e)
		return false
	})
	return true
}

// Finish ends the run of e with its response or its error. A proven NotRun
// removes the entry, so that a resend may run; after any other error resends
// get the outcome Unknown until the key expires.
func (l *Ledger) Finish(e *LedgerEntry, p *lavenderridge.Response, x error) {
	if x == nil {
		e.finish(l.done(p))
		return
	}
	f := lavenderridge.AsRefusal(x)
	if f.Outcome == lavenderridge.OutcomeNotRun || l.rules.forgetUnknown {
		l.remove(e, &LedgerOutcome{Refusal: f})
		return
	}
	e.finish(&LedgerOutcome{State: lavenderridge.LedgerUnknown, Refusal: f})
}

// done returns the outcome of a run that was answered, without the response
// when that exceeds a bound.
func (l *Ledger) done(p *lavenderridge.Response) *LedgerOutcome {
	n := size(p)
	if n > l.limits.Body {
		return unknownOutcome(lavenderridge.ReasonTooLarge, "the request ran; its response was too large to be kept")
	}
	if l.bytes.Add(int64(n)) > int64(l.limits.Bytes) {
		l.bytes.Add(-int64(n))
		return unknownOutcome(lavenderridge.ReasonLedgerFull, "the request ran; there was no room for its response")
	}
	return &LedgerOutcome{State: lavenderridge.LedgerDone, Response: p}
}

func unknownOutcome(r lavenderridge.Reason, d string) *LedgerOutcome {
	return &LedgerOutcome{
		State:   lavenderridge.LedgerUnknown,
		Refusal: lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, r, d),
	}
}

func size(p *lavenderridge.Response) lavenderridge.ByteCount {
	n := len(p.Body)
	for k, v := range p.Header {
		n += len(k)
		for _, s := range v {
			n += len(s)
		}
	}
	return lavenderridge.ByteCount(n)
}

// remove takes e out of the ledger and ends its run with the outcome o.
func (l *Ledger) remove(e *LedgerEntry, o *LedgerOutcome) {
	l.drop(e)
	e.finish(o)
}

func (l *Ledger) drop(e *LedgerEntry) {
	if !l.entries.CompareAndDelete(e.key, e) {
		return
	}
	l.size.Add(-1)
	if o := e.Outcome(); o != nil && o.Response != nil {
		l.bytes.Add(-int64(size(o.Response)))
	}
}

// Sweep drops the entries that have expired at t. Keys that had expired at a
// sweep stay so when the clock is set back.
func (l *Ledger) Sweep(t time.Time) {
	if n := t.UnixNano(); n > l.floor.Load() {
		l.floor.Store(n)
	}
	l.entries.Range(func(_, v any) bool {
		if e := v.(*LedgerEntry); e.Outcome() != nil && !t.Before(e.expires) {
			l.drop(e)
		}
		return true
	})
}
