package backendserver

import "github.com/lavenderridge/lavenderridge"

// CrashEvidence holds the observations after a lost connection that show
// whether the backend server crashed.
type CrashEvidence struct {
	// Unreachable is set if a new connection was refused.
	Unreachable bool
	// Health is the response of the health endpoint; nil if there was none.
	Health *lavenderridge.Health
	// Boot is the boot mark that was last known before the connection was
	// lost.
	Boot string
	// Lost is the number of requests that lost their connection together.
	Lost int
}

// IndicatesCrash reports whether the backend server crashed. If several
// requests were lost together, that is a crash even if the health endpoint
// still reports the old boot mark, because its responses lag. A response
// without a boot mark cannot rule out a crash and counts as one.
func (c CrashEvidence) IndicatesCrash() bool {
	if c.Unreachable || c.Lost > 1 {
		return true
	}
	if c.Health == nil {
		return false
	}
	return c.Health.Boot == "" || c.Health.Boot != c.Boot
}
