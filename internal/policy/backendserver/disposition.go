package backendserver

// A Disposition is how a request may be run, given the recorded crashes.
type Disposition uint8

const (
	// DispositionNormal is for a request that is not suspected.
	DispositionNormal Disposition = iota
	// DispositionExclusive is for a request that was in flight when a backend
	// server crashed. It runs exclusively, with no other request in flight.
	DispositionExclusive
	// DispositionRefused is for a request that crashed a backend server while
	// it ran exclusively.
	DispositionRefused
)
