package lavenderridge

// A PullRequest asks a peer for a document.
type PullRequest struct {
	Sender Sender
	Name   DocumentName
	// Have is what the asker holds; the peer may answer with a delta from it.
	Have Stamp
}
