package caller

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const defaultRetryAfter = time.Second

// Attempts joins what became of a request's attempts at one daemon into what
// its caller may be told.
type Attempts struct {
	count    lavenderridge.Attempt
	unknown  bool
	homeSaid bool
	offered  lavenderridge.Attempt
}

// Add counts an attempt at the target n that was refused with f. The refusal
// is the target's own when it carries its name.
func (a *Attempts) Add(n lavenderridge.InstanceID, f *lavenderridge.Refusal) {
	a.count++
	if mayHaveReached(f) {
		a.offered++
	}
	a.unknown = a.unknown || f.Outcome != lavenderridge.OutcomeNotRun
	a.homeSaid = n != "" && f.Place == n && f.Outcome == lavenderridge.OutcomeNotRun
}

// Count returns the number of attempts.
func (a *Attempts) Count() lavenderridge.Attempt {
	return a.count
}

// mayHaveReached reports whether an attempt that was refused with f may have
// reached a backend server.
func mayHaveReached(f *lavenderridge.Refusal) bool {
	return f.Offered || f.Outcome != lavenderridge.OutcomeNotRun
}

// Offered returns the number of attempts that may have reached a backend
// server.
func (a *Attempts) Offered() lavenderridge.Attempt {
	return a.offered
}

// Conclude returns the refusal for the caller of r after the last attempt, or
// a decision before the first, gave f. It says NotRun only if every attempt is
// proven not to have run; for a keyed non-idempotent request its home must
// have said so, because only the home knows of other sendings of the key.
func (a *Attempts) Conclude(r *lavenderridge.Request, f *lavenderridge.Refusal) *lavenderridge.Refusal {
	v := *f
	v.Retried = f.Retried || a.count > 1
	if a.unknown || Keyed(r) && !a.homeSaid {
		v.Outcome = lavenderridge.OutcomeUnknown
	}
	if v.RetryAfter == 0 && temporary(v.Reason) {
		v.RetryAfter = defaultRetryAfter
	}
	return &v
}

// Keyed reports whether the home of its key must run the request.
func Keyed(r *lavenderridge.Request) bool {
	return r.Key != "" && !r.Idempotent
}

// Refuse returns the refusal for the caller of r when e stands in the way of
// its first attempt.
func Refuse(r *lavenderridge.Request, e error) *lavenderridge.Refusal {
	return new(Attempts).Conclude(r, lavenderridge.AsRefusal(e))
}
