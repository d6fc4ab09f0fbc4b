package judge

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A DataCentreOutage is a period in which a data centre was published as out of
// service.
type DataCentreOutage struct {
	DataCentre lavenderridge.DataCentreID
	From, To   time.Time
}
