package lavenderridge

import "time"

// An Entry is one route of the catalogue, with its owner, class and limits.
type Entry struct {
	ID      EntryID
	Owner   OwnerID
	Class   Class
	Service ServiceID
	// Split distributes the requests over several services in place of Service,
	// which is then the first of them.
	Split []ServiceShare
	// Host selects the requests of this entry; empty means all hosts.
	Host string
	// PathPrefix selects the requests of this entry; the longest prefix wins.
	PathPrefix string
	// Methods selects the requests of this entry; none means all methods.
	Methods []string
	// Idempotent tells that running a request twice does no harm.
	Idempotent bool
	// Timeout bounds a request that brings no deadline of its own.
	Timeout   time.Duration
	Limits    Limits
	Objective Objective
}
