package trial

import "time"

// A Step is one part of a trial, with what was seen.
type Step struct {
	Name string
	Seen string
	// Took is zero where no time was measured.
	Took time.Duration
	// Broken tells which promise did not hold; it is empty when all did.
	Broken string
}
