package backendserver

import (
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
	policy "github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// A Mode is the kind of admission control that is measured.
type Mode string

// The kinds of admission control.
const (
	// ModeAdaptive is the admission control that daemons use.
	ModeAdaptive Mode = "adaptive"
	// ModePlain is the baseline: a fixed limit, the slots in the catalogue, without
	// slow start and without a queue.
	ModePlain Mode = "plain"
)

// options returns the options of an owner handler with the admission control m.
func (m Mode) options() []backendserver.OwnerOption {
	if m == ModeAdaptive {
		return nil
	}
	return []backendserver.OwnerOption{backendserver.WithLimiterOptions(policy.WithFixedLimit())}
}
