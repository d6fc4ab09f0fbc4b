package configservice

import "time"

// A ReadState is what decides whether a daemon reads a document at the source.
type ReadState struct {
	// Listed tells that an instance list is in force.
	Listed bool
	// Holds tells that a version of the document is in force.
	Holds bool
	// Reads tells that the daemon is one of its data centre's readers.
	Reads bool
	// Fleet is the number of daemons that share the source.
	Fleet int
	// PeerAge is the time since a neighbour was last heard of.
	PeerAge time.Duration
	// SourceAge is the time since the last contact with the source of any
	// daemon, as far as this one has heard.
	SourceAge time.Duration
	// Failures is the number of calls that failed in a row.
	Failures int
}
