package peer

import (
	"context"

	"github.com/lavenderridge/lavenderridge"
)

// A LoanServer handles the calls of other daemons that borrow out of the quotas of
// customers.
type LoanServer interface {
	Borrow(c context.Context, q *lavenderridge.LoanRequest) (*lavenderridge.Loan, error)
}
