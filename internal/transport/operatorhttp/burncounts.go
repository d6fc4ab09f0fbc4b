package operatorhttp

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// A BurnCounts contains one daemon's counts of callers' requests that met or
// missed the objective of their entry. Operators compute from them how fast each
// entry burns its error budget.
type BurnCounts struct {
	Instance   lavenderridge.InstanceID
	DataCentre lavenderridge.DataCentreID
	Time       time.Time
	Rows       []operator.Row
}
