package operatorhttp

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Status is what a daemon says of itself.
type Status struct {
	Instance    lavenderridge.InstanceID
	DataCentre  lavenderridge.DataCentreID
	Service     lavenderridge.ServiceID
	Incarnation lavenderridge.Incarnation
	StartedAt   time.Time
	Ready       bool
	// Leaving tells that the daemon takes no new work because it stops.
	Leaving  bool
	Versions lavenderridge.Versions
	// CatalogueDigest and InstanceListDigest tell two documents of the same
	// version apart.
	CatalogueDigest    string
	InstanceListDigest string
	AcceptedAt         time.Time
	Load               lavenderridge.Load
	// KeysNotAfter is when the daemon's certificate expires.
	KeysNotAfter time.Time
	// PeersRefused counts the handshakes with other daemons that were refused.
	PeersRefused uint64
	// Catalogue and InstanceList tell when the versions in force were accepted
	// and where they came from.
	Catalogue    lavenderridge.Acceptance
	InstanceList lavenderridge.Acceptance
	// Rejections are the versions that did not come into force of late.
	Rejections []lavenderridge.Rejection
	// SourceAge is the time since any daemon had an answer from the source, as
	// far as this one has heard.
	SourceAge time.Duration
	// OwnSourceAge is the time since this daemon had one.
	OwnSourceAge time.Duration
	Neighbours   []lavenderridge.Neighbour
}
