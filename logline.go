package lavenderridge

import "time"

// A LogLine is one line of a daemon's log.
type LogLine struct {
	Time time.Time
	// Instance is the daemon that wrote the line; empty where its log does not
	// hold its start.
	Instance InstanceID
	Event    string
	// Subject is the request or the other thing that the line is about.
	Subject string
	// Place and Target are the instances that the line names; they may be empty.
	Place, Target InstanceID
	Versions      Versions
	// Detail holds the other fields.
	Detail string
}
