package lavenderridge

import "time"

// A Neighbour is what a daemon knows of one daemon with which it exchanges
// versions.
type Neighbour struct {
	Instance    InstanceID
	Incarnation Incarnation
	// Versions are those that the neighbour had in force when last heard of.
	Versions Versions
	// Heard is when the neighbour last sent a message.
	Heard time.Time
	// Down tells that the neighbour does not answer.
	Down bool
	// Leaving tells that the neighbour takes no new work.
	Leaving bool
}
