package judge

import "github.com/lavenderridge/lavenderridge"

// Evidence is what was seen of a fleet from outside.
type Evidence struct {
	Sends []Send
	Runs  []Run
	// Sights are the versions that daemons told of, in the order of their times.
	Sights []Sight
	// Disturbances are the faults, but for planned stops.
	Disturbances []Span
	// Stops are planned stops, from the signal to the end of the process.
	Stops []Span
	// Away are the times in which data centres were published as out of service.
	Away []Away
	// Slots bounds the requests that run at once, and Peaks holds the most that
	// did, by instance.
	Slots lavenderridge.Slots
	Peaks map[lavenderridge.InstanceID]lavenderridge.Slots
	// Latest is the catalogue that was published last, and Behind the daemons
	// that had not got it when the soak ended.
	Latest lavenderridge.Version
	Behind []lavenderridge.InstanceID
	// Probes and Answered count the requests after the last fault, and those of
	// them that were answered.
	Probes, Answered int
	// Ends are the processes that did not end as they should.
	Ends []string
}
