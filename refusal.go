package lavenderridge

import (
	"errors"
	"fmt"
	"time"
)

// A Refusal is the error of a request that got no answer from a backend
// server. Its outcome tells the caller whether the request may have run.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the time to wait before a resend; zero gives no advice.
	RetryAfter time.Duration
	// Offered tells that the request reached a backend server that did not run
	// it. One with an unknown outcome may have reached one in any case.
	Offered bool
	// Place is the instance whose daemon refused.
	Place InstanceID
	// Detail explains the refusal to people.
	Detail string
	// Retried tells that the request has been tried again already, so that
	// the layers above must not.
	Retried bool
	// Load is what the refusing daemon's backend server bore.
	Load Load
	// Versions are those that the refusing daemon had in force; zero where
	// they are not known.
	Versions Versions
}

var _ error = (*Refusal)(nil)

// NewRefusal returns a refusal with an outcome and a reason.
func NewRefusal(o Outcome, r Reason, d string) *Refusal {
	return &Refusal{Outcome: o, Reason: r, Detail: d}
}

// Error returns the place, the reason, the outcome and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: refused (%s, %s): %s", r.Place, r.Reason, r.Outcome, r.Detail)
}

// AsRefusal returns the refusal in the chain of e. Any other error becomes a
// refusal with an unknown outcome.
func AsRefusal(e error) *Refusal {
	var r *Refusal
	if errors.As(e, &r) {
		return r
	}
	return NewRefusal(OutcomeUnknown, ReasonInternal, e.Error())
}
