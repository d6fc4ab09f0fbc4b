package lavenderridge

import "time"

// An Exchange announces the sender's accepted versions to a neighbour, as stamps
// in Sender. The reply has the same form.
type Exchange struct {
	Sender Sender
	// Address is where the sender accepts connections from other daemons. A
	// receiver without an instance list has no other way to reach the sender.
	Address Address
	// Leaving is true if the sender accepts no new work.
	Leaving bool
	// Suspects are requests that were in flight when a backend server crashed.
	Suspects []Suspect
	// SourceAge is the time since the source last responded to the sender or to
	// a daemon whose contact was reported to the sender; zero means that the
	// sender knows of no such response.
	SourceAge time.Duration
	// Proof is the sender's latest proof of its accepted catalogue, and Following what it
	// knows of who follows the source. Only replies carry them: the delay of any other
	// message is unknown.
	Proof     CatalogueProof
	Following Following
}
