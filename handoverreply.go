package lavenderridge

// A HandOverReply tells how many records of a HandOver were kept.
type HandOverReply struct {
	Sender Sender
	Kept   int
}
