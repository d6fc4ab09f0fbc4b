package operatorhttp

import (
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A Status is a daemon's report on its own state.
type Status struct {
	Instance    lavenderridge.InstanceID
	DataCentre  lavenderridge.DataCentreID
	Service     lavenderridge.ServiceID
	Incarnation lavenderridge.Incarnation
	StartedAt   time.Time
	Ready       bool
	// Leaving is true if the daemon accepts no new work because it is shutting
	// down.
	Leaving  bool
	Versions lavenderridge.Versions
	// CatalogueDigest and InstanceListDigest distinguish documents that differ
	// but have the same version.
	CatalogueDigest    string
	InstanceListDigest string
	AcceptedAt         time.Time
	Load               lavenderridge.Load
	// Home describes which keyed requests the daemon may run.
	Home lavenderridge.HomeStatus
	// KeysNotAfter is when the daemon's certificate expires.
	KeysNotAfter time.Time
	// PeersRefused counts the refused TLS handshakes with other daemons.
	PeersRefused uint64
	// CatalogueOrigin and InstanceListOrigin are where the daemon obtained the
	// active versions: the source, which is the configuration service or the
	// platform's store of facts, or another daemon's instance.
	CatalogueOrigin        lavenderridge.Origin
	InstanceListOrigin     lavenderridge.Origin
	CatalogueAcceptedAt    time.Time
	InstanceListAcceptedAt time.Time
	// Rejections lists the versions that were rejected recently.
	Rejections []lavenderridge.Rejection
	// SourceAge is the time since the source last responded to any daemon, as far
	// as this daemon knows.
	SourceAge time.Duration
	// OwnSourceAge is the time since the source last responded to this daemon.
	OwnSourceAge time.Duration
	// SourceEra is the era of the source's latest response to this daemon. It rises by
	// one when the source comes back from an older copy. Zero means that it states none.
	SourceEra lavenderridge.Era
	// InstanceListEra is the era in the version of the instance list, or zero while no
	// return of the source is known.
	InstanceListEra lavenderridge.Era
	// CatalogueAge is a bound on the time since the active catalogue was the latest one of
	// the source. Requests with a customer's key are refused from MaxCatalogueAge on, which
	// is zero if that is not bounded.
	CatalogueAge    time.Duration `json:",omitempty"`
	MaxCatalogueAge time.Duration `json:",omitempty"`
	// StartedAlone is true if no neighbour responded when the daemon started, so
	// that it started with the versions of the source alone.
	StartedAlone bool
	Neighbours   []lavenderridge.Neighbour
}
