package peer

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// A HomeKeeper handles the calls of other daemons that move the homes of keyed
// requests.
type HomeKeeper interface {
	Activate(c context.Context, q *lavenderridge.ActivationRequest) (*lavenderridge.ActivationReply, error)
	HandOver(c context.Context, q *lavenderridge.HandOver) (*lavenderridge.HandOverReply, error)
}
