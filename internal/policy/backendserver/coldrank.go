package backendserver

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A ColdRank orders the requests to a cold backend server. It bears a number of
// requests whatever they need, so that within a class those with the longer
// objective, which do more for one place, go first.
type ColdRank struct {
	Class     lavenderridge.Class
	Objective time.Duration
}

func (k ColdRank) above(o ColdRank) bool {
	return k.Class > o.Class || k.Class == o.Class && k.Objective > o.Objective
}
