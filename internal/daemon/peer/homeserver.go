package peer

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// A HomeServer handles the calls of other daemons that move the homes of keyed
// requests.
type HomeServer interface {
	Activate(c context.Context, q *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error)
	HandOver(c context.Context, q *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error)
}
