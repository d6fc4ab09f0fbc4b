package operator

import "github.com/lavenderridge/lavenderridge"

// Observers is an observer that passes each observation to several observers in
// order.
type Observers []lavenderridge.Observer

var _ lavenderridge.Observer = Observers(nil)

// Observe implements lavenderridge.Observer.
func (a Observers) Observe(o lavenderridge.Observation) {
	for _, v := range a {
		v.Observe(o)
	}
}
