package operatorhttp

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// A Burn holds what one daemon has counted of its callers' requests.
type Burn struct {
	Instance   lavenderridge.InstanceID
	DataCentre lavenderridge.DataCentreID
	Time       time.Time
	Rows       []operator.Row
}
