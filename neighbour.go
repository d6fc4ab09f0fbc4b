package lavenderridge

import "time"

// A Neighbour is the state that a daemon keeps about one daemon with which it
// exchanges versions.
type Neighbour struct {
	Instance    InstanceID
	Incarnation Incarnation
	// Versions are the neighbour's accepted versions as last reported.
	Versions Versions
	// Heard is the time of the last message from the neighbour.
	Heard time.Time
	// Down is true if the neighbour does not respond.
	Down bool
	// Leaving is true if the neighbour accepts no new work.
	Leaving bool
}
