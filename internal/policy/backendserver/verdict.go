package backendserver

// A Verdict tells how a request may run, for what is known of crashes.
type Verdict uint8

// The verdicts.
const (
	// RunsFreely is the verdict on a request that is not suspected.
	RunsFreely Verdict = iota
	// RunsAlone is the verdict on a request that was in flight when a backend
	// server crashed.
	RunsAlone
	// Refused is the verdict on a request that crashed one while alone.
	Refused
)
