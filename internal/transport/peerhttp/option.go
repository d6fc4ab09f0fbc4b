package peerhttp

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// An Option configures a Transport.
type Option func(*Transport)

// WithMaxMessage sets the maximum size of one message; the default is 8 MiB.
func WithMaxMessage(n lavenderridge.ByteCount) Option {
	return func(t *Transport) { t.maxMessage = n }
}

// WithProbeDelay sets how long a connection with running calls may receive
// nothing before it is probed; the default is 150 ms.
func WithProbeDelay(d time.Duration) Option {
	return func(t *Transport) { t.probeDelay = d }
}

// WithMetrics registers the transport's counters in r.
func WithMetrics(r metrics.Registry) Option {
	return func(t *Transport) { t.registry = r }
}

// WithBodies makes the transport take the memory for the bodies of requests from other
// daemons out of b. By default there is no bound.
func WithBodies(b *operator.BodyBudget) Option {
	return func(t *Transport) { t.bodies = b }
}

// WithClients makes the transport keep the connections of other daemons in c. By default
// there is no bound.
func WithClients(c *operator.ClientTable) Option {
	return func(t *Transport) { t.clients = c }
}
