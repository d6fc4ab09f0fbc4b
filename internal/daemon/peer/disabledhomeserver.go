package peer

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// A DisabledHomeServer is the HomeServer of a daemon that runs no keyed requests.
type DisabledHomeServer struct{}

var _ HomeServer = DisabledHomeServer{}

// Activate implements HomeServer. It returns a refusal.
func (DisabledHomeServer) Activate(context.Context, *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	return nil, notHome()
}

// HandOver implements HomeServer. It returns a refusal.
func (DisabledHomeServer) HandOver(context.Context, *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	return nil, notHome()
}

// notHome returns the refusal of every call.
func notHome() error {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNotHome, "this daemon runs no keyed requests")
}
