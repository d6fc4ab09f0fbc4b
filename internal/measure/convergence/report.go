package convergence

import "time"

// A Report is the result for one fleet. "At rest" means that all daemons are ready
// and no document changes.
type Report struct {
	Daemons int
	// Mode is "neighbours", or "source" when every daemon watches the source.
	Mode string

	// Catalogue and List are the times from publishing a change until each daemon
	// accepted it.
	Catalogue Latencies
	List      Latencies
	// Storm are the times from the simultaneous start of all daemons until each
	// was ready.
	Storm Latencies

	// RestBytes are the bytes that a daemon sends to and receives from other
	// daemons per second at rest, including TCP and IP headers. ExchangeBytes are
	// the bytes of exchanges among them, without those headers.
	RestBytes     float64
	ExchangeBytes float64
	// ChangeBytes are the bytes that a daemon sends to and receives from other
	// daemons for one change, minus those at rest. PullBytes are the bytes of
	// the pulls that it began, without TCP and IP headers.
	ChangeBytes float64
	PullBytes   float64
	// Announcements, AntiEntropy, Deltas and Wholes are the numbers of
	// announcements, anti-entropy exchanges, pulls of a delta and pulls of a whole
	// document by one daemon for one change.
	Announcements float64
	AntiEntropy   float64
	Deltas        float64
	Wholes        float64
	// StormBytes are the bytes that a daemon sends to and receives from other
	// daemons from the simultaneous start until all daemons are ready.
	StormBytes float64

	// RestCalls are the calls to the source per second by the whole fleet at rest.
	// StormCalls are the calls to the source during a simultaneous start, and
	// StormPeak the most of them within one second. Refused are the calls that the
	// source has refused by the end because of its rate limit.
	RestCalls  float64
	StormCalls float64
	StormPeak  float64
	Refused    float64

	// RestCPU is the fraction of a core that a daemon uses at rest, ChangeCPU its
	// processor time for one change. Both include the share of the source, which
	// runs in the same process.
	RestCPU   float64
	ChangeCPU time.Duration
	// Heap and Resident are the bytes of heap with stacks, and of resident memory,
	// per daemon.
	Heap     float64
	Resident float64
}
