package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A ColdStartPriority orders the requests to a cold backend server. The rate
// of a cold backend server limits the number of requests, regardless of their
// cost. Within a class, requests with a longer latency objective therefore go
// first: each of them gets more work done for one unit of the rate.
type ColdStartPriority struct {
	Class     lavenderridge.Class
	Objective time.Duration
}

// above reports whether k has the higher priority.
func (k ColdStartPriority) above(o ColdStartPriority) bool {
	return k.Class > o.Class || k.Class == o.Class && k.Objective > o.Objective
}
