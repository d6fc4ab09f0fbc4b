package caller

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// defaultRetryAfter is the retry delay advised by a refusal that may be retried
// and has none of its own.
const defaultRetryAfter = time.Second

// Attempts accumulates the refusals of a request's attempts at one daemon and
// derives the refusal that the caller receives.
type Attempts struct {
	count           lavenderridge.Attempt
	unknown         bool
	refusedByTarget bool
	offered         lavenderridge.Attempt
}

// Add counts an attempt at the target n that was refused with f. The target
// itself refused it if n is the place of f.
func (a *Attempts) Add(n lavenderridge.InstanceID, f *lavenderridge.Refusal) {
	a.count++
	if mayHaveReached(f) {
		a.offered++
	}
	a.unknown = a.unknown || f.Outcome != lavenderridge.OutcomeNotRun
	a.refusedByTarget = n != "" && f.Place == n && f.Outcome == lavenderridge.OutcomeNotRun
}

// AddResponse counts an attempt that was answered with a failed response.
func (a *Attempts) AddResponse() {
	a.count++
	a.offered++
	a.unknown = true
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

// Conclude returns the refusal for the caller of r, where f is the refusal of
// the last attempt or was decided before the first one. Its outcome is NotRun
// only if every attempt is proven not to have run. For a keyed non-idempotent
// request, the last attempt must also have been refused as NotRun by the home
// itself, because only the home knows of other requests with the same key.
func (a *Attempts) Conclude(r *lavenderridge.Request, f *lavenderridge.Refusal) *lavenderridge.Refusal {
	v := *f
	v.Retried = f.Retried || a.count > 1
	if a.unknown || Keyed(r) && !a.refusedByTarget {
		v.Outcome = lavenderridge.OutcomeUnknown
	}
	if v.RetryAfter == 0 && retryable(v.Reason) {
		v.RetryAfter = defaultRetryAfter
	}
	return &v
}

// Keyed reports whether the request must run at the home of its key: it has a
// key and is not idempotent.
func Keyed(r *lavenderridge.Request) bool {
	return r.Key != "" && !r.Idempotent
}

// Refuse returns the refusal for the caller of r if the error e prevented its
// first attempt.
func Refuse(r *lavenderridge.Request, e error) *lavenderridge.Refusal {
	return new(Attempts).Conclude(r, lavenderridge.AsRefusal(e))
}
