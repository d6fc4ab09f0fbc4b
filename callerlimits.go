package lavenderridge

import "time"

// CallerLimits bounds the size of callers' requests and the time they may take
// to arrive. A field that is zero leaves the daemon's own bound in place.
type CallerLimits struct {
	Header ByteCount
	Body   ByteCount
	// HeaderTimeout bounds the time until a request's header has arrived.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}
