package lavenderridge

// A PullReply carries a document, whole or as a delta. Both are nil when the
// peer has nothing newer or is serving too many pulls.
type PullReply struct {
	Sender Sender
	// Stamp identifies the result.
	Stamp Stamp
	// Whole is the canonical encoding of the document.
	Whole []byte
	// Delta turns the asker's version into the result.
	Delta []byte
	// Busy tells that the peer serves as many pulls as it may.
	Busy bool
}
