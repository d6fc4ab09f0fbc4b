package assembly

import (
	"go.uber.org/zap"

	"github.com/lavenderridge/lavenderridge"
)

// An Option configures a Daemon.
type Option func(*Daemon)

// WithLogger makes the daemon log to l; the default logs nothing.
func WithLogger(l *zap.Logger) Option {
	return func(d *Daemon) { d.log = l }
}

// WithClock makes the daemon use the clock k; the default is the system clock.
func WithClock(k lavenderridge.Clock) Option {
	return func(d *Daemon) { d.clock = k }
}

// WithSteadyClock makes the daemon use the clock k for the age of the catalogue; the
// default is the system's clock.
func WithSteadyClock(k lavenderridge.SteadyClock) Option {
	return func(d *Daemon) { d.steadyClock = k }
}

// WithSourceOnly makes the daemon watch the source itself and disables gossip with
// other daemons. Measurements use it as a baseline.
func WithSourceOnly() Option {
	return func(d *Daemon) { d.sourceOnly = true }
}

// WithAdapter makes the daemon use the protocols of a platform.
func WithAdapter(a lavenderridge.Adapter) Option {
	return func(d *Daemon) { d.adapter = a }
}
