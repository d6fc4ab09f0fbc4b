package lavenderridge

import (
	"strconv"
	"strings"
	"time"
)

// startSeparator separates the name of a backend server from the start of its run.
const startSeparator = "#"

// A BackendID identifies one run of a backend server: it differs after a restart
// at the same address or under the same name. It is empty if the platform does not
// identify runs.
type BackendID string

// NewBackendID returns the identity of the run that is registered under the name n and
// started at t, in whole milliseconds. The zero time stands for an unknown start.
func NewBackendID(n BackendName, t time.Time) BackendID {
	switch {
	case !t.IsZero():
		return BackendID(string(n) + startSeparator + strconv.FormatInt(t.UnixMilli(), 10))
	case strings.Contains(string(n), startSeparator):
		return BackendID(string(n) + startSeparator)
	}
	return BackendID(n)
}

// Name returns the name under which the run is registered.
func (b BackendID) Name() BackendName {
	if i := strings.LastIndex(string(b), startSeparator); i >= 0 {
		return BackendName(b[:i])
	}
	return BackendName(b)
}

// Precedes reports whether b is an earlier run of the backend server o, by their starts.
// It reports false if one of these is unknown.
func (b BackendID) Precedes(o BackendID) bool {
	s, j := b.start()
	t, k := o.start()
	return j && k && s < t && b.Name() == o.Name()
}

// start returns the start of the run in milliseconds. It reports false if it is unknown.
func (b BackendID) start() (int64, bool) {
	i := strings.LastIndex(string(b), startSeparator)
	if i < 0 {
		return 0, false
	}
	n, e := strconv.ParseInt(string(b[i+1:]), 10, 64)
	return n, e == nil
}
