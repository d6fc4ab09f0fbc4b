package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// stubsFactor bounds the records without responses, as a multiple of the bound
// for those with.
const stubsFactor = 4

// Records returns a record of every key whose home by f is h. Those beyond n
// bytes come without their response, which HandOver gives later. It reports
// whether none is missing.
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
			e.handed.Store(&h)
		}
		s += recordSize(&r)
		w = s <= stubsFactor*n
		a = append(a, r)
		return w
	})
	return a, w
}

// HandOver returns records that the homes by f do not hold yet, at most n
// bytes of responses for each home, and notes that they were given. The
// function f returns the new home of a key, or "" when the key stays.
func (l *Ledger) HandOver(f func(lavenderridge.IdempotencyKey) lavenderridge.InstanceID, n lavenderridge.ByteCount) map[lavenderridge.InstanceID][]lavenderridge.LedgerRecord {
	m := make(map[lavenderridge.InstanceID][]lavenderridge.LedgerRecord)
	s := make(map[lavenderridge.InstanceID]lavenderridge.ByteCount)
	l.entries.Range(func(_, v any) bool {
		e := v.(*LedgerEntry)
		h := f(e.key)
		if p := e.handed.Load(); h == "" || p != nil && *p == h || s[h] >= n {
			return true
		}
		e.handed.Store(&h)
		r := e.record()
		s[h] += recordSize(&r)
		m[h] = append(m[h], r)
		return true
	})
	return m
}

// TakeBack notes that the records p did not reach the home h, so that they are
// handed over again.
func (l *Ledger) TakeBack(h lavenderridge.InstanceID, p []lavenderridge.LedgerRecord) {
	for i := range p {
		v, o := l.entries.Load(p[i].Key)
		if !o {
			continue
		}
		e := v.(*LedgerEntry)
		if g := e.handed.Load(); g != nil && *g == h {
			e.handed.CompareAndSwap(g, nil)
		}
	}
}

// recordOverhead estimates a record's size on the wire without its response.
const recordOverhead lavenderridge.ByteCount = 160

func recordSize(r *lavenderridge.LedgerRecord) lavenderridge.ByteCount {
	if r.Response == nil {
		return recordOverhead
	}
	return recordOverhead + size(r.Response)
}

// Merge takes in a record from an earlier home at t and reports whether its
// key can't run here. What this process knows of a run of its own is not changed.
func (l *Ledger) Merge(r lavenderridge.LedgerRecord, t time.Time) bool {
	if !t.Before(r.Expires) {
		return true // the key has expired as well
	}
	if v, o := l.entries.Load(r.Key); o {
		return l.update(v.(*LedgerEntry), r)
	}
	if l.size.Add(1) > int64(l.limits.Entries) {
		l.size.Add(-1)
		return false
	}
	e := newLedgerEntry(r.Key, r.Fingerprint, r.Expires)
	e.finish(l.outcome(r))
	v, o := l.entries.LoadOrStore(r.Key, e)
	if !o {
		return true
	}
	l.size.Add(-1)
	l.release(e.Outcome())
	return l.update(v.(*LedgerEntry), r)
}

// update puts the response of r in the place of an outcome that another home
// left open.
func (l *Ledger) update(e *LedgerEntry, r lavenderridge.LedgerRecord) bool {
	o := e.Outcome()
	if o == nil || o.State != lavenderridge.LedgerRunning || r.State == lavenderridge.LedgerRunning {
		return true
	}
	n := l.outcome(r)
	if !e.outcome.CompareAndSwap(o, n) {
		l.release(n)
		return true
	}
	e.handed.Store(nil)
	return true
}

func (l *Ledger) release(o *LedgerOutcome) {
	if o.Response != nil {
		l.bytes.Add(-int64(size(o.Response)))
	}
}

// outcome returns what a record from another home means here.
func (l *Ledger) outcome(r lavenderridge.LedgerRecord) *LedgerOutcome {
	switch {
	case r.State == lavenderridge.LedgerDone && r.Response != nil:
		return l.done(r.Response)
	case r.State == lavenderridge.LedgerRunning:
		o := unknownOutcome(lavenderridge.ReasonNotActive, "the request runs at an earlier home")
		o.State, o.Refusal.RetryAfter = lavenderridge.LedgerRunning, time.Second
		return o
	default:
		return unknownOutcome(lavenderridge.ReasonConnectionLost, "the request may have run at an earlier home")
	}
}
