package mesh

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
)

// A Member is one instance of a mesh: its backend server and, while it runs,
// its daemon.
type Member struct {
	Instance lavenderridge.Instance
	// Backend is the handler of the instance's backend server.
	Backend http.Handler
	Daemon  *assembly.Daemon

	server *httptest.Server
	stop   context.CancelFunc
	done   chan error
}

// Caller returns the address at which the member answers callers.
func (m *Member) Caller() lavenderridge.Address {
	return m.Daemon.CallerAddress()
}

// BackendAddress returns where the member's backend server answers.
func (m *Member) BackendAddress() lavenderridge.Address {
	return lavenderridge.Address(strings.TrimPrefix(m.server.URL, "http://"))
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
