package judge

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// Away is a period in which a data centre was published as out of service.
type Away struct {
	DataCentre lavenderridge.DataCentreID
	From, To   time.Time
}
