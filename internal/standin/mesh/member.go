package mesh

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
)

// A Member is one instance of a mesh: its backend server and, while it runs,
// its daemon.
type Member struct {
	Instance lavenderridge.Instance
	Backend  *backendserver.Server
	Daemon   *assembly.Daemon

	stop context.CancelFunc
	done chan error
}

// Caller returns the address at which the member answers callers.
func (m *Member) Caller() lavenderridge.Address {
	return m.Daemon.CallerAddress()
}

// Stop ends the member's daemon gracefully and returns its error.
func (m *Member) Stop() error {
	if m.stop == nil {
		return nil
	}
	m.stop()
	e := <-m.done
	m.stop = nil
	return e
}
