package plan

// A Link is one of a daemon's ways that a fault may concern.
type Link string

// The links.
const (
	PeerLink    Link = "Peer"
	BackendLink Link = "Backend"
	SourceLink  Link = "Source"
)
