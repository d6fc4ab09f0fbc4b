package judge

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// An OutOfServicePeriod is a period in which a data centre was published as out
// of service.
type OutOfServicePeriod struct {
	DataCentre lavenderridge.DataCentreID
	From, To   time.Time
}
