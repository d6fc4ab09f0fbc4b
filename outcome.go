package lavenderridge

// An Outcome tells what a refusal means for the request.
type Outcome uint8

// The outcomes. The zero value is the careful one.
const (
	// OutcomeUnknown tells that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun tells that no backend server ran the request or will.
	OutcomeNotRun
)

// String returns the name that replies to callers use.
func (o Outcome) String() string {
	if o == OutcomeNotRun {
		return "NotRun"
	}
	return "Unknown"
}
