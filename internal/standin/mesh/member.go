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

// CallerAddress returns the address at which the member's daemon accepts requests of
// callers.
func (m *Member) CallerAddress() lavenderridge.Address {
	return m.Daemon.CallerAddress()
}

// Stop performs a planned shutdown of the member's daemon and returns its error. It
// does nothing if the daemon does not run.
func (m *Member) Stop() error {
	if m.stop == nil {
		return nil
	}
	m.stop()
	e := <-m.done
	m.stop = nil
	return e
}
