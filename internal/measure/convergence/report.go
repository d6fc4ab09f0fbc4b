package convergence

import "time"

// A Report is the outcome for one fleet.
type Report struct {
	Daemons int
	// Mode is "neighbours", or "source" when every daemon watches the source.
	Mode string

	// Catalogue and List are the times from publishing a change until it was
	// in force at each daemon.
	Catalogue Latencies
	List      Latencies
	// Storm are the times from the start of all daemons at once until each was
	// ready.
	Storm Latencies

	// RestBytes are the bytes that a daemon sends and receives in a second
	// at rest, headers included; ExchangeBytes is the payload part of it.
	RestBytes     float64
	ExchangeBytes float64
	// ChangeBytes are the bytes of one daemon for one change, above those
	// at rest; PullBytes is the payload of pulls in it.
	ChangeBytes float64
	PullBytes   float64
	// Announcements, AntiEntropy, Deltas and Wholes are calls by one daemon for
	// one change.
	Announcements float64
	AntiEntropy   float64
	Deltas        float64
	Wholes        float64
	// StormBytes are the bytes of one daemon from start until ready.
	StormBytes float64

	// RestCalls are calls to the source in a second at rest by the whole fleet;
	// StormCalls are all calls in a storm, StormPeak those of its worst second
	// and Refused those refused for their rate.
	RestCalls  float64
	StormCalls float64
	StormPeak  float64
	Refused    float64

	// RestCPU is the part of a core that a daemon takes at rest, ChangeCPU the
	// processor time for one change. Both include the stand-in's part.
	RestCPU   float64
	ChangeCPU time.Duration
	// Heap and Resident are bytes of memory for one daemon.
	Heap     float64
	Resident float64
}
