package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// recordsFactor bounds the total size of the records, as a multiple of the
// limit up to which they contain responses.
const recordsFactor = 4

// Records returns a record of every key whose new home, by f, is h. Records
// beyond a total of n bytes come without their response; HandOver delivers it
// later. The returned flag is false if the total exceeded recordsFactor*n and
// keys are missing.
func (l *Ledger) Records(h lavenderridge.InstanceID, f func(lavenderridge.IdempotencyKey) lavenderridge.InstanceID, n lavenderridge.ByteCount) ([]lavenderridge.LedgerRecord, bool) {
	var a []lavenderridge.LedgerRecord
	var s lavenderridge.ByteCount
	w := true
	l.entries.Range(func(_, v any) bool {
		e := v.(*LedgerEntry)
		if f(e.key) != h {
			return true
		}
		r := e.record()
		if s+recordSize(&r) > n {
			r.State, r.Response = lavenderridge.LedgerRunning, nil
		} else {
			e.handedTo.Store(&h)
		}
		s += recordSize(&r)
		w = s <= recordsFactor*n
		a = append(a, r)
		return w
	})
	return a, w
}

// HandOver returns the records that their new homes do not have yet, up to
// about n bytes for each home, and marks them as handed over. The function f
// returns the new home of a key, or "" if the key stays here.
func (l *Ledger) HandOver(f func(lavenderridge.IdempotencyKey) lavenderridge.InstanceID, n lavenderridge.ByteCount) map[lavenderridge.InstanceID][]lavenderridge.LedgerRecord {
	m := make(map[lavenderridge.InstanceID][]lavenderridge.LedgerRecord)
	s := make(map[lavenderridge.InstanceID]lavenderridge.ByteCount)
	l.entries.Range(func(_, v any) bool {
		e := v.(*LedgerEntry)
		h := f(e.key)
		if p := e.handedTo.Load(); h == "" || p != nil && *p == h || s[h] >= n {
			return true
		}
		e.handedTo.Store(&h)
		r := e.record()
		s[h] += recordSize(&r)
		m[h] = append(m[h], r)
		return true
	})
	return m
}

// HandOverFailed records that the records p did not reach the home h, so that
// they are handed over again.
func (l *Ledger) HandOverFailed(h lavenderridge.InstanceID, p []lavenderridge.LedgerRecord) {
	for i := range p {
		v, o := l.entries.Load(p[i].Key)
		if !o {
			continue
		}
		e := v.(*LedgerEntry)
		if g := e.handedTo.Load(); g != nil && *g == h {
			e.handedTo.CompareAndSwap(g, nil)
		}
	}
}

// recordOverhead is the estimated encoded size of a record without its
// response.
const recordOverhead lavenderridge.ByteCount = 160

func recordSize(r *lavenderridge.LedgerRecord) lavenderridge.ByteCount {
	if r.Response == nil {
		return recordOverhead
	}
	return recordOverhead + responseSize(r.Response)
}

// Merge adds a record that an earlier home handed over, at t. It returns false
// if the ledger has no room, and the key could therefore run again here. The
// outcome of a run in this process is not changed.
func (l *Ledger) Merge(r lavenderridge.LedgerRecord, t time.Time) bool {
	if !t.Before(r.Expires) {
		return true // an expired key is refused without an entry
	}
	if v, o := l.entries.Load(r.Key); o {
		return l.updateOutcome(v.(*LedgerEntry), r)
	}
	if l.size.Add(1) > int64(l.limits.Entries) {
		l.size.Add(-1)
		return false
	}
	e := newLedgerEntry(r.Key, r.Fingerprint, r.Expires)
	e.finish(l.mergedOutcome(r))
	v, o := l.entries.LoadOrStore(r.Key, e)
	if !o {
		return true
	}
	l.size.Add(-1)
	l.releaseBytes(e.Outcome())
	return l.updateOutcome(v.(*LedgerEntry), r)
}

// updateOutcome replaces the outcome of an entry that was running at an
// earlier home by that of r, unless r is still running as well. It always
// returns true, because the key has an entry.
func (l *Ledger) updateOutcome(e *LedgerEntry, r lavenderridge.LedgerRecord) bool {
	o := e.Outcome()
	if o == nil || o.State != lavenderridge.LedgerRunning || r.State == lavenderridge.LedgerRunning {
		return true
	}
	n := l.mergedOutcome(r)
	if !e.outcome.CompareAndSwap(o, n) {
		l.releaseBytes(n)
		return true
	}
	e.handedTo.Store(nil)
	return true
}

// releaseBytes subtracts the response of an outcome that is not stored after
// all.
func (l *Ledger) releaseBytes(o *LedgerOutcome) {
	if o.Response != nil {
		l.bytes.Add(-int64(responseSize(o.Response)))
	}
}

// mergedOutcome returns the outcome that a record from another home gives to
// the key here.
func (l *Ledger) mergedOutcome(r lavenderridge.LedgerRecord) *LedgerOutcome {
	switch {
	case r.State == lavenderridge.LedgerDone && r.Response != nil:
		return l.completedOutcome(r.Response)
	case r.State == lavenderridge.LedgerRunning:
		o := unknownOutcome(lavenderridge.ReasonNotActive, "the request runs at an earlier home")
		o.State, o.Refusal.RetryAfter = lavenderridge.LedgerRunning, time.Second
		return o
	default:
		return unknownOutcome(lavenderridge.ReasonConnectionLost, "the request may have run at an earlier home")
	}
}
