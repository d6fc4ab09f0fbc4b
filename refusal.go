package lavenderridge

import (
	"errors"
	"fmt"
	"time"
)

// A Refusal is the error of a request that got no response from a backend
// server. Its outcome states whether the request may have run.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the time to wait before a resend; zero means that no time is
	// advised.
	RetryAfter time.Duration
	// Offered is true if the request reached a backend server that did not run
	// it. A request with an unknown outcome may have reached a backend server
	// even if Offered is false.
	Offered bool
	// Place is the instance whose daemon refused.
	Place InstanceID
	// Detail is a human-readable explanation.
	Detail string
	// Retried is true if the request has already been retried, so that the
	// layers above must not retry it again.
	Retried bool
	// Load is the load of the refusing daemon's backend server.
	Load Load
	// Heard is what that backend server has announced; nil if it was no reason.
	Heard *HeardNotice
	// Versions are the accepted versions of the refusing daemon; zero if they
	// are not known.
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
