package backendserver

import (
	"github.com/lavenderridge/lavenderridge/internal/daemon/backendserver"
	policy "github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
)

// A Mode tells which admission is measured.
type Mode string

// The modes.
const (
	// ModeAdaptive is the admission as daemons have it.
	ModeAdaptive Mode = "adaptive"
	// ModePlain admits by the catalogue's slots alone, without ramp and queue.
	ModePlain Mode = "plain"
)

func (m Mode) options() []backendserver.OwnerOption {
	if m == ModeAdaptive {
		return nil
	}
	return []backendserver.OwnerOption{backendserver.WithLimiterOptions(policy.WithFixedLimit())}
}
