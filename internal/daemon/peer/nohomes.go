package peer

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// NoHomes is the HomeKeeper of a daemon that runs no keyed requests.
type NoHomes struct{}

var _ HomeKeeper = NoHomes{}

// Activate implements HomeKeeper. It acknowledges nothing.
func (NoHomes) Activate(context.Context, *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error) {
	return nil, noHomes()
}

// HandOver implements HomeKeeper. It keeps nothing.
func (NoHomes) HandOver(context.Context, *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error) {
	return nil, noHomes()
}

func noHomes() error {
	return lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonNotHome, "this daemon runs no keyed requests")
}
