package instancelist

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

// Limits of an instance list: instances, bytes in a name, and the slots and the
// remaining cold time of an instance.
const (
	maxInstances = 1 << 14
	MaxNameBytes = 200
	MaxSlots     = 1 << 16
	maxColdLeft  = 24 * time.Hour
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
	m := make(map[lavenderridge.InstanceID]bool, len(l.Instances))
	for i := range l.Instances {
		n := &l.Instances[i]
		if m[n.ID] {
			f.Add(instancePlace(n)+".ID", "duplicate instance")
		}
		m[n.ID] = true
		f = append(f, ValidateInstance(n)...)
	}
	for _, d := range l.Evacuated {
		f = append(f, ValidateEvacuated(d)...)
	}
	return f
}

// ValidateInstance returns every fault that the instance n has on its own. A list
// of instances without any is valid if their IDs differ and there are not too many.
func ValidateInstance(n *lavenderridge.Instance) lavenderridge.Findings {
	var f lavenderridge.Findings
	p := instancePlace(n)
	checkName(&f, p+".ID", string(n.ID))
	checkName(&f, p+".DataCentre", string(n.DataCentre))
	checkName(&f, p+".Service", string(n.Service))
	if len(n.Backend) > MaxNameBytes {
		f.Add(p+".Backend", "%d bytes are above the limit of %d", len(n.Backend), MaxNameBytes)
	}
	if n.State != lavenderridge.InstanceLive && n.State != lavenderridge.InstanceLeaving {
		f.Add(p+".State", "%s is not a state; want Live or Leaving", shorten(string(n.State)))
	}
	if n.Slots < 0 || n.Slots > MaxSlots {
		f.Add(p+".Slots", "%d is not between 0 and %d", n.Slots, MaxSlots)
	}
	if n.ColdLeft < 0 || n.ColdLeft > maxColdLeft {
		f.Add(p+".ColdLeft", "%s is not between 0s and %s", n.ColdLeft, maxColdLeft)
	}
	if !isAddress(n.Peer) {
		f.Add(p+".Peer", "%s is not an IP address with a port", shorten(string(n.Peer)))
	}
	return f
}

// ValidateEvacuated returns the faults of the name of an evacuated data centre.
func ValidateEvacuated(d lavenderridge.DataCentreID) lavenderridge.Findings {
	var f lavenderridge.Findings
	checkName(&f, fmt.Sprintf("Evacuated[%s]", shorten(string(d))), string(d))
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

// checkName adds a fault at the place p to f if the name s is empty or too long.
func checkName(f *lavenderridge.Findings, p, s string) {
	switch {
	case s == "":
		f.Add(p, "is empty")
	case len(s) > MaxNameBytes:
		f.Add(p, "%d bytes are above the limit of %d", len(s), MaxNameBytes)
	}
}
