package lavenderridge

import "time"

// A HeardNotice is a notice with the daemon that heard it from its backend server.
type HeardNotice struct {
	Notice
	// Backend is the run of the backend server that the notice is about.
	Backend BackendID
	// Place is the instance of that backend server and of the daemon beside it.
	Place InstanceID
	// Age is how old the notice was when it was passed on.
	Age time.Duration
}
