package backendserver

// A LimiterOption changes a Limiter.
type LimiterOption func(*Limiter)

// WithFixedLimit makes the limit that of the catalogue at all times, for
// comparison.
func WithFixedLimit() LimiterOption {
	return func(l *Limiter) { l.fixed = true }
}
