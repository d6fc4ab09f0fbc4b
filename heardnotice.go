package lavenderridge

import "time"

// A HeardNotice is a notice with where and when it was heard.
type HeardNotice struct {
	Notice
	// Backend is the run of the backend server that the notice is about.
	Backend BackendID
	// Place is the instance whose daemon reports it.
	Place InstanceID
	// Age is how old the notice was when it was passed on.
	Age time.Duration
}
