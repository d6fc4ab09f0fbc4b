package instancelist

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// Limits of an instance list: instances, bytes in a name and in the identity of a run,
// which is a name with a start time, and the slots and the remaining cold time of an
// instance.
const (
	maxInstances    = 1 << 14
	MaxNameBytes    = 200
	maxBackendBytes = MaxNameBytes + 24
	MaxSlots        = 1 << 16
	maxColdLeft     = 24 * time.Hour
)

// Validate returns every fault of l: too many instances, empty, duplicate or
// overlong names, unknown states, slots and cold times out of range, and peer
// addresses that are not an IP address with a port. If there are too many
// instances, it returns only this fault.
func Validate(l *lavenderridge.InstanceList) lavenderridge.Findings {
	var f lavenderridge.Findings
	if len(l.Instances) > maxInstances {
		f.Add("Instances", "%d instances are above the limit of %d", len(l.Instances), maxInstances)
		return f
	}
	// The IDs of a sorted list need not be kept to find duplicates.
	var m map[lavenderridge.InstanceID]bool
	if !ascending(l.Instances) {
		m = make(map[lavenderridge.InstanceID]bool, len(l.Instances))
	}
	for i := range l.Instances {
		n := &l.Instances[i]
		if m[n.ID] {
			f.Add(instancePlace(n)+".ID", "duplicate instance")
		}
		if m != nil {
			m[n.ID] = true
		}
		f = append(f, ValidateInstance(n)...)
	}
	for _, d := range l.Evacuated {
		f = append(f, ValidateEvacuated(d)...)
	}
	return f
}

// ascending reports whether the instances a are sorted by ID without duplicates.
func ascending(a []lavenderridge.Instance) bool {
	for i := 1; i < len(a); i++ {
		if a[i-1].ID >= a[i].ID {
			return false
		}
	}
	return true
}

// ValidateInstance returns every fault that the instance n has on its own. A list
// of instances without any is valid if their IDs differ and there are not too many.
func ValidateInstance(n *lavenderridge.Instance) lavenderridge.Findings {
	var f lavenderridge.Findings
	// A place is formatted only for a fault, because lists are long and seldom have one.
	d := func(p, m string, a ...any) { f.Add(instancePlace(n)+p, m, a...) }
	checkName(d, ".ID", string(n.ID))
	checkName(d, ".DataCentre", string(n.DataCentre))
	checkName(d, ".Service", string(n.Service))
	if len(n.Backend) > maxBackendBytes {
		d(".Backend", "%d bytes are above the limit of %d", len(n.Backend), maxBackendBytes)
	}
	if n.State != lavenderridge.InstanceLive && n.State != lavenderridge.InstanceLeaving {
		d(".State", "%s is not a state; want Live or Leaving", shorten(string(n.State)))
	}
	if n.Slots < 0 || n.Slots > MaxSlots {
		d(".Slots", "%d is not between 0 and %d", n.Slots, MaxSlots)
	}
	if n.ColdLeft < 0 || n.ColdLeft > maxColdLeft {
		d(".ColdLeft", "%s is not between 0s and %s", n.ColdLeft, maxColdLeft)
	}
	if !isAddress(n.Peer) {
		d(".Peer", "%s is not an IP address with a port", shorten(string(n.Peer)))
	}
	return f
}

// ValidateEvacuated returns the faults of the name of an evacuated data centre.
func ValidateEvacuated(d lavenderridge.DataCentreID) lavenderridge.Findings {
	var f lavenderridge.Findings
	checkName(f.Add, fmt.Sprintf("Evacuated[%s]", shorten(string(d))), string(d))
	return f
}

// instancePlace returns the place of the faults of n.
func instancePlace(n *lavenderridge.Instance) string {
	return fmt.Sprintf("Instances[%s]", shorten(string(n.ID)))
}

// shorten returns s quoted, and cut where it is longer than any valid name.
func shorten(s string) string {
	return fmt.Sprintf("%.*q", MaxNameBytes, s)
}

// isAddress reports whether a has the form of an IP address with a port. The
// parser of the published format checks the IP address itself.
func isAddress(a lavenderridge.Address) bool {
	i := strings.LastIndexByte(string(a), ':')
	if i < 1 || strings.Trim(string(a[:i]), "0123456789abcdefABCDEF.:[]%") != "" {
		return false
	}
	n, e := strconv.ParseUint(string(a[i+1:]), 10, 16)
	return e == nil && n > 0
}

// checkName calls f with a fault at the place p if the name s is empty or too long.
func checkName(f func(p, m string, a ...any), p, s string) {
	switch {
	case s == "":
		f(p, "is empty")
	case len(s) > MaxNameBytes:
		f(p, "%d bytes are above the limit of %d", len(s), MaxNameBytes)
	}
}
