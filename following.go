package lavenderridge

import "time"

// A Following states that the daemon of the instance By followed the source at a moment
// that is at most Age ago: it had a response, or a call that the source would have
// answered at a change. The zero value states nothing.
type Following struct {
	By  InstanceID
	Age time.Duration
}
