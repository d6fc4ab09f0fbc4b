package caller

import (
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// A choice is the search for the target of one request.
type choice struct {
	class   lavenderridge.Class
	exclude []lavenderridge.InstanceID
	now     time.Duration
	// limited is a target that was passed over for its limit, or nil.
	limited *target
}

// admits reports whether n may be chosen.
func (c *choice) admits(n *target) bool {
	return c.hasRoom(n) && n.usable(c.now) && !slices.Contains(c.exclude, n.instance.ID)
}

// hasRoom reports whether n isn't leaving and its limit, if there is one, has room for
// the request.
func (c *choice) hasRoom(n *target) bool {
	if n.leaving(c.now) {
		return false
	}
	w := n.roomIn(c.class, c.now)
	if w > 0 && (c.limited == nil || w < c.limited.roomIn(c.class, c.now)) {
		c.limited = n
	}
	return w == 0
}
