package lavenderridge

// A PullReply contains a document, whole or as a delta. Both are nil if the peer
// has no newer version or is serving too many pulls.
type PullReply struct {
	Sender Sender
	// Stamp identifies the document that Whole holds or Delta results in.
	Stamp Stamp
	// Whole is the canonical encoding of the document.
	Whole []byte
	// Delta is the encoded difference from the version that the request named in
	// Have.
	Delta []byte
	// Busy is true if the peer already serves the maximum number of pulls.
	Busy bool
}
