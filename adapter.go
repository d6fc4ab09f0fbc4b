package lavenderridge

import "context"

// An Adapter speaks the protocols of one platform in place of the system's
// own. It translates and decides nothing.
type Adapter interface {
	// Facts returns the platform's store of published facts.
	Facts(c context.Context, s FactSettings) (FactSource, error)
	// Callers returns the protocol of callers.
	Callers() CallerProtocol
	// Backends returns the protocol of backend servers.
	Backends() BackendProtocol
}
