package lavenderridge

// A PullRequest requests a document from a peer.
type PullRequest struct {
	Sender Sender
	Name   DocumentName
	// Have identifies the version that the requester holds; the peer may respond
	// with a delta from it.
	Have Stamp
}
