package peer

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// NoHomes is the HomeKeeper of a daemon that runs no keyed requests.
type NoHomes struct{}

var _ HomeServer = NoHomes{}

// Activate implements HomeKeeper. It returns a refusal.
func (NoHomes) Activate(context.Context, *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	return nil, notHome()
}

// HandOver implements HomeKeeper. It returns a refusal.
func (NoHomes) HandOver(context.Context, *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	return nil, notHome()
}

func notHome() error {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNotHome, "this daemon runs no keyed requests")
}
