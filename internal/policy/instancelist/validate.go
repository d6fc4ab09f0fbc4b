package instancelist

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/lavenderridge/lavenderridge"
)

// Limits of an instance list: instances, bytes in a name, and slots of an
// instance.
const (
	maxInstances = 1 << 14
	maxNameBytes = 200
	maxSlots     = 1 << 16
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
		p := fmt.Sprintf("Instances[%q]", n.ID)
		if m[n.ID] {
			f.Add(p+".ID", "duplicate instance")
		}
		m[n.ID] = true
		validateInstance(&f, p, n)
	}
	for _, d := range l.Evacuated {
		checkName(&f, fmt.Sprintf("Evacuated[%q]", d), string(d))
	}
	return f
}

// validateInstance adds the faults of the instance n at the place p to f.
func validateInstance(f *lavenderridge.Findings, p string, n *lavenderridge.Instance) {
	checkName(f, p+".ID", string(n.ID))
	checkName(f, p+".DataCentre", string(n.DataCentre))
	checkName(f, p+".Service", string(n.Service))
	if n.State != lavenderridge.InstanceLive && n.State != lavenderridge.InstanceLeaving {
		f.Add(p+".State", "%q is not a state; want Live or Leaving", n.State)
	}
	if n.Slots < 0 || n.Slots > maxSlots {
		f.Add(p+".Slots", "%d is not between 0 and %d", n.Slots, maxSlots)
	}
	if n.ColdLeft < 0 {
		f.Add(p+".ColdLeft", "%s is below 0", n.ColdLeft)
	}
	if !isAddress(n.Peer) {
		f.Add(p+".Peer", "%q is not an IP address with a port", n.Peer)
	}
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
	case len(s) > maxNameBytes:
		f.Add(p, "%d bytes are above the limit of %d", len(s), maxNameBytes)
	}
}
