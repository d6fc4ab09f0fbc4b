package plan

// A Link is one of the network links of a daemon on which faults are injected.
type Link string

// The links.
const (
	PeerLink    Link = "Peer"    // from other daemons to the daemon
	BackendLink Link = "Backend" // from the daemon to its backend server
	SourceLink  Link = "Source"  // from the daemon to the configuration service
)
