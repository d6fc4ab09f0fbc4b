package mesh

import (
	"time"

	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/daemon/assembly"
	"github.com/lavenderridge/lavenderridge/internal/standin/backendserver"
)

// An Option configures a Mesh.
type Option func(*Mesh)

// WithDataCentres sets the data centres; the default is two.
func WithDataCentres(d ...lavenderridge.DataCentreID) Option {
	return func(m *Mesh) { m.dataCentres = d }
}

// WithServices sets the services; the default is one, "roster".
func WithServices(s ...lavenderridge.ServiceID) Option {
	return func(m *Mesh) { m.services = s }
}

// WithReplicas sets the number of instances of each service in each data
// centre; the default is two.
func WithReplicas(n int) Option {
	return func(m *Mesh) { m.replicas = n }
}

// WithCatalogue sets the function f that edits the catalogue before it is first
// published.
func WithCatalogue(f func(*lavenderridge.Catalogue)) Option {
	return func(m *Mesh) { m.editCatalogue = f }
}

// WithServiceTime sets the service time of the backend servers; the default is
// 2 ms. WithBackend overrides it.
func WithServiceTime(d time.Duration) Option {
	return func(m *Mesh) { m.serviceTime = d }
}

// WithBackend sets the function f that returns the backend server of each
// instance, not yet started.
func WithBackend(f func(lavenderridge.Instance) *backendserver.Server) Option {
	return func(m *Mesh) { m.newBackend = f }
}

// WithLogger sets the logger of the daemons; by default they do not log.
func WithLogger(l *zap.Logger) Option {
	return func(m *Mesh) { m.log = l }
}

// WithConfig sets the function f that edits the settings of each daemon before it
// starts.
func WithConfig(f func(*assembly.Config)) Option {
	return func(m *Mesh) { m.editConfig = f }
}
