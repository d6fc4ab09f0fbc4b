package operatorhttp

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// A Burn contains the requests from callers that one daemon has counted, from
// which operators compute how fast each entry burns its error budget.
type Burn struct {
	Instance   lavenderridge.InstanceID
	DataCentre lavenderridge.DataCentreID
	Time       time.Time
	Rows       []operator.Row
}
