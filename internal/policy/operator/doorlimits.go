package operator

import "github.com/lavenderridge/lavenderridge"

// Shares of the doors. The rest is for bodies, the daemon's own connections, and what the
// runtime needs beside its heap.
const (
	doorDescriptorShare   = 0.75 // of all descriptors, less the backend server's
	callerShare           = 0.5  // of the doors' descriptors
	peerShare             = 1.0 / 3
	operatorShare         = 1.0 / 16 // for each of the two addresses
	minDoorConnections    = 16
	connectionMemoryShare = 0.25 // of the memory, for the connections of callers
	headMemoryShare       = 1.0 / 16
	callMemoryShare       = 1.0 / 8
	peerMemoryShare       = 1.0 / 6 // for the connections of daemons
	operatorMemoryShare   = 1.0 / 64
)

// Memory of one open connection without what its client sends.
const (
	callerConnection = 24 * lavenderridge.Kibibyte
	peerConnection   = 96 * lavenderridge.Kibibyte
)

// DoorLimits are the limits of all doors of a daemon.
type DoorLimits struct {
	Callers, Peers, Operators ClientLimits
}

// NewDoorLimits returns the limits of a process that may have d descriptors, of which its
// backend server needs b, and m bytes of memory. Zero stands for no bound.
func NewDoorLimits(d, b lavenderridge.Connections, m lavenderridge.ByteCount) DoorLimits {
	var l DoorLimits
	if d > 0 {
		n := doorDescriptorShare*float64(d) - float64(b)
		l.Callers.Connections = atLeast(n * callerShare)
		l.Peers.Connections = atLeast(n * peerShare)
		l.Operators.Connections = atLeast(n * operatorShare)
	}
	if m > 0 {
		f := float64(m)
		l.Callers.Connections = lower(l.Callers.Connections, atLeast(f*connectionMemoryShare/float64(callerConnection)))
		l.Peers.Connections = lower(l.Peers.Connections, atLeast(f*peerMemoryShare/float64(peerConnection)))
		l.Callers.Memory = lavenderridge.ByteCount(f * headMemoryShare)
		l.Peers.Memory = lavenderridge.ByteCount(f * callMemoryShare)
		l.Operators.Memory = lavenderridge.ByteCount(f * operatorMemoryShare)
	}
	return l
}

func atLeast(f float64) lavenderridge.Connections {
	return lavenderridge.Connections(max(f, minDoorConnections))
}

// lower returns the lower one of two limits, where a zero stands for no bound.
func lower(a, b lavenderridge.Connections) lavenderridge.Connections {
	if a == 0 {
		return b
	}
	return min(a, b)
}
