package judge

import "github.com/lavenderridge/lavenderridge"

// A History is the record of a soak test as observed from outside the daemons.
type History struct {
	Sends []Send
	Runs  []Run
	// VersionSamples are the versions that the daemons reported, ordered by time.
	VersionSamples []VersionSample
	// Publications are the versions of the catalogue that were published, ordered
	// by time.
	Publications []Publication
	// Disturbances are the injected faults, without planned shutdowns.
	Disturbances []Span
	// Stops are the planned shutdowns, each from the signal until the process
	// exited.
	Stops []Span
	// OutOfServicePeriods are the periods in which data centres were published as
	// out of service.
	OutOfServicePeriods []OutOfServicePeriod
	// LimitPeriods are the periods in which backend servers named limits.
	LimitPeriods []LimitPeriod
	// KeyRemovals are the removals of customers' keys.
	KeyRemovals []KeyRemoval
	// Slots is the limit of concurrent requests at each backend server, and
	// PeakInFlight the greatest number that ran concurrently, by instance.
	Slots        lavenderridge.Slots
	PeakInFlight map[lavenderridge.InstanceID]lavenderridge.Slots
	// Latest is the version of the catalogue published last, and Outdated the
	// daemons that did not report it at the end of the soak.
	Latest   lavenderridge.Version
	Outdated []lavenderridge.InstanceID
	// Probes is the number of requests sent after the last fault, and Answered the
	// number of these that were answered.
	Probes, Answered int
	// ExitErrors are the errors of processes that exited with a failure or did not
	// exit in time.
	ExitErrors []string
}
