package lavenderridge

import "time"

// An Entry is one route of the catalogue, with its owner, class and limits.
type Entry struct {
	ID      EntryID
	Owner   OwnerID
	Class   Class
	Service ServiceID
	// Split distributes the requests over several services. If it is not empty,
	// it replaces Service, which is then the first of them.
	Split []ServiceShare
	// Host, PathPrefix and Methods select the requests of this entry. An empty
	// host matches all hosts that have no matching entry of their own.
	Host string
	// PathPrefix begins with "/"; the longest matching prefix wins.
	PathPrefix string
	// Methods lists the HTTP methods; an empty list matches all methods.
	Methods []string
	// Idempotent is true if a request may safely run more than once.
	Idempotent bool
	// Timeout bounds the duration of a request that has no deadline of its own.
	Timeout   time.Duration
	Limits    Limits
	Objective Objective
	// Public is true if requests need no customer's key.
	Public bool `cbor:",omitempty"`
}
