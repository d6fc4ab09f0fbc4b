package lavenderridge

import "time"

// CallerLimits bounds what a caller may send. Zero stands for the daemon's own
// bound.
type CallerLimits struct {
	Header ByteCount
	Body   ByteCount
	// HeaderTimeout bounds the arrival of a request's header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}
