package lavenderridge

// An Outcome states whether a refused request may have run.
type Outcome uint8

// The outcomes. The zero value is the one that is safe to assume.
const (
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that no backend server has run the request or will
	// run it.
	OutcomeNotRun
)

// String returns the name that replies to callers use.
func (o Outcome) String() string {
	if o == OutcomeNotRun {
		return "NotRun"
	}
	return "Unknown"
}
