package lavenderridge

import "time"

// A LogLine is one line of a daemon's log.
type LogLine struct {
	Time time.Time
	// Instance is the daemon that wrote the line; empty if the log does not
	// include the daemon's start.
	Instance InstanceID
	Event    string
	// Subject identifies the request or other item that the line is about.
	Subject string
	// Place is the instance whose daemon refused the request, and Target the
	// instance that responded to it; either may be empty.
	Place, Target InstanceID
	Versions      Versions
	// Detail holds the remaining fields.
	Detail string
}
