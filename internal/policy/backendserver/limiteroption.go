package backendserver

// A LimiterOption changes a Limiter.
type LimiterOption func(*Limiter)

// WithFixedLimit makes the limiter always use the limit of the catalogue.
// Measurements use it as the baseline for comparison.
func WithFixedLimit() LimiterOption {
	return func(l *Limiter) { l.fixed = true }
}
