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
	// Home tells which keyed requests the daemon may run.
	Home lavenderridge.HomeStatus
	// KeysNotAfter is when the daemon's certificate expires.
	KeysNotAfter time.Time
	// PeersRefused counts the handshakes with other daemons that were refused.
	PeersRefused uint64
	// CatalogueOrigin and InstanceListOrigin tell where the versions in force
	// came from: the source or another daemon's instance.
	CatalogueOrigin        lavenderridge.Origin
	InstanceListOrigin     lavenderridge.Origin
	CatalogueAcceptedAt    time.Time
	InstanceListAcceptedAt time.Time
	// Rejections are the versions that did not come into force of late.
	Rejections []lavenderridge.Rejection
	// SourceAge is the time since any daemon had an answer from the source, as
	// far as this one has heard.
	SourceAge time.Duration
	// OwnSourceAge is the time since this daemon had one.
	OwnSourceAge time.Duration
	// StartedAlone tells that no neighbour answered when the daemon started, so
	// that it went by the source alone.
	StartedAlone bool
	Neighbours   []lavenderridge.Neighbour
}
