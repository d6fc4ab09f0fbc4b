package peer

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// A DisabledHomeServer is the HomeServer of a daemon that runs no keyed requests.
type DisabledHomeServer struct{}

var _ HomeServer = DisabledHomeServer{}

// Activate implements HomeKeeper. It returns a refusal.
func (DisabledHomeServer) Activate(context.Context, *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	return nil, notHome()
}

// HandOver implements HomeKeeper. It returns a refusal.
func (DisabledHomeServer) HandOver(context.Context, *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	return nil, notHome()
}

func notHome() error {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNotHome, "this daemon runs no keyed requests")
}
