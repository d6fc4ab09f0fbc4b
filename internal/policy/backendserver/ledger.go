package backendserver

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Ledger records the outcomes of the keyed requests that this home has run
// or that earlier homes handed over. It is bounded, kept in memory and safe
// for concurrent use; reads take no lock. An entry that has not expired is
// never evicted to make room.
type Ledger struct {
	limits      LedgerLimits
	rules       ledgerRules
	entries     sync.Map // of lavenderridge.IdempotencyKey to *LedgerEntry
	size        atomic.Int64
	bytes       atomic.Int64
	latestSweep atomic.Int64 // the time of the latest sweep, in nanoseconds
}

// NewLedger returns an empty ledger.
func NewLedger(l LedgerLimits) *Ledger {
	return &Ledger{limits: l}
}

// Size returns the number of entries.
func (l *Ledger) Size() int {
	return int(l.size.Load())
}

// Bytes returns the total size of the stored responses.
func (l *Ledger) Bytes() lavenderridge.ByteCount {
	return lavenderridge.ByteCount(l.bytes.Load())
}

// Admit decides on a request with the key k and the fingerprint p at t. It
// returns the entry of the key and true if the caller is to run the request
// and then call Finish. It returns false if the key has an entry already. The
// error is a Refusal. The function f returns the current authority.
//
// The home may move while Admit runs, so a decision under the old membership
// could race with the acknowledgement of a newer one. No lock is needed: Admit
// first stores the entry and then consults the current authority again,
// whereas an acknowledgement first installs the new authority and then reads
// the entries. Whichever comes second sees the effect of the first, so the run
// is either abandoned here or contained in the acknowledgement.
func (l *Ledger) Admit(f func() lavenderridge.KeyAuthority, k lavenderridge.IdempotencyKey, p lavenderridge.Fingerprint, v lavenderridge.Versions, t time.Time) (*LedgerEntry, bool, error) {
	if o := time.Unix(0, l.latestSweep.Load()); o.After(t) && !l.rules.acceptEarlierTime {
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

// find returns the entry of the key k, or nil if there is none that is valid
// at t.
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

// join returns the existing entry e for a request with the fingerprint p, or a
// Refusal if e belongs to a different request.
func (l *Ledger) join(e *LedgerEntry, p lavenderridge.Fingerprint) (*LedgerEntry, bool, error) {
	if e.fingerprint != p && !l.rules.noFingerprint {
		return nil, false, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonKeyInUse, "the key belongs to another request")
	}
	return e, false, nil
}

// insert adds an entry and returns it and false, or returns the existing entry
// and true. It returns nil if the ledger is full.
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

// expiry returns when the entry of a key first seen at t expires:
// limits.Lifetime after the time of issue that the key contains or, without
// one, after t.
func (l *Ledger) expiry(k lavenderridge.IdempotencyKey, t time.Time) time.Time {
	if i, o := k.Issued(); o {
		t = i
	}
	return t.Add(l.limits.Lifetime)
}

// makeRoom evicts an entry that has not expired. Only tests that disable this
// rule let it do so.
func (l *Ledger) makeRoom() bool {
	if !l.rules.evict {
		return false
	}
	l.entries.Range(func(_, v any) bool {
		e := v.(*LedgerEntry)
		if e.Outcome() == nil {
			return true
		}
		l.deleteEntry(e)
		return false
	})
	return true
}

// Finish ends the run of e with its response p or its error x. The outcome
// NotRun removes the entry, so that a resend may run. After any other error,
// resends get the outcome Unknown until the key expires.
func (l *Ledger) Finish(e *LedgerEntry, p *lavenderridge.Response, x error) {
	if x == nil {
		e.finish(l.completedOutcome(p))
		return
	}
	f := lavenderridge.AsRefusal(x)
	if f.Outcome == lavenderridge.OutcomeNotRun || l.rules.forgetUnknown {
		l.remove(e, &LedgerOutcome{Refusal: f})
		return
	}
	e.finish(&LedgerOutcome{State: lavenderridge.LedgerUnknown, Refusal: f})
}

// completedOutcome returns the outcome for the response p. If storing p would
// exceed a limit, the outcome is Unknown.
func (l *Ledger) completedOutcome(p *lavenderridge.Response) *LedgerOutcome {
	n := responseSize(p)
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

// responseSize returns the size of the body and the headers of p.
func responseSize(p *lavenderridge.Response) lavenderridge.ByteCount {
	n := len(p.Body)
	for k, v := range p.Header {
		n += len(k)
		for _, s := range v {
			n += len(s)
		}
	}
	return lavenderridge.ByteCount(n)
}

// remove removes e from the ledger and ends its run with the outcome o.
func (l *Ledger) remove(e *LedgerEntry, o *LedgerOutcome) {
	l.deleteEntry(e)
	e.finish(o)
}

// deleteEntry removes e from the ledger and releases the bytes of its
// response.
func (l *Ledger) deleteEntry(e *LedgerEntry) {
	if !l.entries.CompareAndDelete(e.key, e) {
		return
	}
	l.size.Add(-1)
	if o := e.Outcome(); o != nil && o.Response != nil {
		l.bytes.Add(-int64(responseSize(o.Response)))
	}
}

// Sweep removes the entries that have expired at t. It also records t, so that
// keys which have expired stay expired if the clock is set back.
func (l *Ledger) Sweep(t time.Time) {
	if n := t.UnixNano(); n > l.latestSweep.Load() {
		l.latestSweep.Store(n)
	}
	l.entries.Range(func(_, v any) bool {
		if e := v.(*LedgerEntry); e.Outcome() != nil && !t.Before(e.expires) {
			l.deleteEntry(e)
		}
		return true
	})
}
