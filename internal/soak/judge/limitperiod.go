package judge

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A LimitPeriod is a period in which the backend server of an instance named a limit in
// all its responses.
type LimitPeriod struct {
	Instance lavenderridge.InstanceID
	From, To time.Time
	// Rate is the limit in requests per second.
	Rate lavenderridge.Rate
}
