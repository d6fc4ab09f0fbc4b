package peer

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// An Exchanger handles the calls of other daemons that disseminate configuration.
type Exchanger interface {
	Exchange(c context.Context, q *lavenderridge.Exchange) (*lavenderridge.Exchange, error)
	Pull(c context.Context, q *lavenderridge.PullRequest) (*lavenderridge.PullReply, error)
}
