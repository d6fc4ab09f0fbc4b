package lavenderridge

import (
	"errors"
	"math"
	"strconv"
	"strings"
)

const (
	// maxLimitText bounds the length of the text of a limit, in bytes.
	maxLimitText = 64
	// maxLimits bounds the number of limits in one response.
	maxLimits = 8
	// leavingText is the value by which a backend server says that it is leaving.
	leavingText = "1"
)

// A Notice is what a backend server says about itself in the header of a response.
type Notice struct {
	// Limited is true if the response names a limit that can be used. Limit is then
	// the number of requests per second that the backend server takes from all
	// daemons together, finite and not negative.
	Limited bool
	Limit   Rate
	// Invalid is true if the response names a limit, but none that can be used.
	Invalid bool
	// Leaving is true if the backend server is about to end.
	Leaving bool
}

// NewNotice returns the notice in the values l of the header field for the limit and
// the values g of the one for leaving. A limit is a decimal number that is not
// negative. If several are named, the lowest one holds.
func NewNotice(l, g []string) Notice {
	n := Notice{Invalid: len(l) > 0}
	for _, v := range g {
		n.Leaving = n.Leaving || strings.TrimSpace(v) == leavingText
	}
	for _, v := range l {
		n.addLimits(v)
	}
	return n
}

// addLimits adds the limits in the value s of a header field, which HTTP allows to
// contain several separated by commas.
func (n *Notice) addLimits(s string) {
	for _, v := range strings.SplitN(s, ",", maxLimits) {
		r, o := parseLimit(strings.TrimSpace(v))
		if o && (!n.Limited || r < n.Limit) {
			n.Limited, n.Limit, n.Invalid = true, r, false
		}
	}
}

// parseLimit parses a decimal number that is not negative. One that is too large for
// a floating-point number becomes the largest one.
func parseLimit(s string) (Rate, bool) {
	if s == "" || len(s) > maxLimitText || strings.Trim(s, "+-.0123456789eE") != "" {
		return 0, false
	}
	v, e := strconv.ParseFloat(s, 64)
	if errors.Is(e, strconv.ErrRange) {
		v, e = min(v, math.MaxFloat64), nil
	}
	if e != nil || !(v >= 0) {
		return 0, false
	}
	return Rate(max(v, 0)), true
}
