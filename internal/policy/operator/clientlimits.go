package operator

import "github.com/lavenderridge/lavenderridge"

// ClientLimits bounds what the clients of one door make the daemon hold. A field that is
// zero stands for no bound.
type ClientLimits struct {
	// Connections bounds the open connections, and AddressConnections those from one
	// address.
	Connections, AddressConnections lavenderridge.Connections
	// Memory bounds what heads and messages take beyond what every connection has.
	Memory lavenderridge.ByteCount
}
