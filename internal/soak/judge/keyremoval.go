package judge

import "time"

// A KeyRemoval is the publication of a version that took a customer's key away.
type KeyRemoval struct {
	Key  string
	Time time.Time
}
