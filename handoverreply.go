package lavenderridge

// A HandOverReply reports the number of records of a HandOver that the receiver
// kept.
type HandOverReply struct {
	Sender Sender
	Kept   int
}
