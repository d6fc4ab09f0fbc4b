package peerhttp

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
)

// An Option changes a Transport.
type Option func(*Transport)

// WithMaxMessage bounds the size of one message; the default is 8 MiB.
func WithMaxMessage(n lavenderridge.ByteCount) Option {
	return func(t *Transport) { t.maxMessage = n }
}

// WithSilence sets how long calls wait without a reply before their connection
// is probed; the default is 150 ms.
func WithSilence(d time.Duration) Option {
	return func(t *Transport) { t.silence = d }
}

// WithMetrics counts in the registry r.
func WithMetrics(r metrics.Registry) Option {
	return func(t *Transport) { t.registry = r }
}
