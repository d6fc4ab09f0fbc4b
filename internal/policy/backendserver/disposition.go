package backendserver

// A Disposition is how a request may be run, given the crashes that are known.
type Disposition uint8

const (
	// DispositionNormal is returned for a request that is not suspected.
	DispositionNormal Disposition = iota
	// DispositionExclusive is returned for a request that was in flight when a backend
	// server crashed: it runs exclusively.
	DispositionExclusive
	// DispositionRefused is returned for a request that crashed a backend server while it
	// ran exclusively.
	DispositionRefused
)
