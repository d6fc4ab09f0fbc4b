package caller

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A QuotaAsk is one question of a QuotaAccount to a home.
type QuotaAsk struct {
	Home *lavenderridge.Instance
	Want lavenderridge.LoanWant
	// home is the place of Home among the homes of the customer.
	home int
	// at is when the question is sent; the loan's end counts from it.
	at time.Time
}
