package lavenderridge

import "time"

// CallerLimits bounds the size of callers' requests and the time they may take
// to arrive. A field that is zero leaves the daemon's own bound in place.
type CallerLimits struct {
	// Header and Body bound the size of a request's header and body.
	Header ByteCount
	Body   ByteCount
	// HeaderTimeout bounds the time until a request's header has arrived.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which a connection without a request is closed.
	IdleTimeout time.Duration
}
