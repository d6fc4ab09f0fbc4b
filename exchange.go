package lavenderridge

import "time"

// An Exchange tells a neighbour what the sender has in force. The reply has
// the same form. The sender's stamps are in Sender.
type Exchange struct {
	Sender Sender
	// Address is where the sender accepts other daemons. A daemon without an
	// instance list needs it to answer.
	Address Address
	// Leaving tells that the sender takes no new work.
	Leaving bool
	// Suspects are requests that were in flight when a backend server crashed.
	Suspects []Suspect
	// SourceAge is the age of the last answer that the sender or a daemon that
	// it has heard of had from the source; zero tells that it knows of none.
	SourceAge time.Duration
}
