package lavenderridge

import "context"

// An Adapter implements the protocols of one platform, which replace the
// system's own. It translates messages and makes no decisions.
type Adapter interface {
	// Facts returns the platform's store of published facts.
	Facts(c context.Context, s FactSettings) (FactSource, error)
	// Callers returns the protocol of callers.
	Callers() CallerProtocol
	// Backends returns the protocol of backend servers.
	Backends() BackendProtocol
}
