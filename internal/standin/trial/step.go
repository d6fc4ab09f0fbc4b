package trial

import "time"

// A Step is one step of a trial with its observation.
type Step struct {
	Name string
	Seen string
	// Took is the duration of the step, or zero if it was not measured.
	Took time.Duration
	// Broken describes the violated guarantee; it is empty if none was violated.
	Broken string
}
