package lavenderridge

// An Exchange tells a neighbour what the sender has in force. The reply has
// the same form. The sender's stamps are in Sender.
type Exchange struct {
	Sender Sender
	// Leaving tells that the sender takes no new work.
	Leaving bool
	// Suspects are requests that were in flight when a backend server crashed.
	Suspects []Suspect
}
