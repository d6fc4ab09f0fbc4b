package factsource

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/backendhttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/callerhttp"
)

// An Adapter connects daemons to a Source and uses the default protocols for
// callers and backend servers.
type Adapter struct {
	Source *Source
}

var _ lavenderridge.Adapter = Adapter{}

// Facts implements lavenderridge.Adapter.
func (a Adapter) Facts(context.Context, lavenderridge.FactSettings) (lavenderridge.FactSource, error) {
	return a.Source, nil
}

// Callers implements lavenderridge.Adapter.
func (Adapter) Callers() lavenderridge.CallerProtocol { return callerhttp.Protocol{} }

// Backends implements lavenderridge.Adapter.
func (Adapter) Backends() lavenderridge.BackendProtocol { return backendhttp.Protocol{} }
