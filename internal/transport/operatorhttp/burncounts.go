package operatorhttp

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// A BurnCounts contains the requests from callers that one daemon has counted, from
// which operators compute how fast each entry burns its error budget.
type BurnCounts struct {
	Instance   lavenderridge.InstanceID
	DataCentre lavenderridge.DataCentreID
	Time       time.Time
	Rows       []operator.Row
}
