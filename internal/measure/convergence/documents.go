package convergence

import (
	"fmt"
	"strings"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/instancesjson"
)

// Number of data centres in the catalogue, and of those in each region.
const (
	dataCentres         = 10
	dataCentresInRegion = 2
)

// dataCentre returns the data centre of the instance i. Successive instances
// belong to successive data centres.
func dataCentre(i int) lavenderridge.DataCentreID {
	return lavenderridge.DataCentreID(fmt.Sprintf("dc-%d", i%dataCentres))
}

// service returns the service of the instance i, of n services. Each service has
// one instance in each data centre before the next service gets any.
func service(i, n int) lavenderridge.ServiceID {
	return lavenderridge.ServiceID(fmt.Sprintf("service-%d", i/dataCentres%n))
}

// catalogue returns the text of a catalogue with n services. The revision v
// determines which service's entries have another timeout than in the other
// revisions.
func catalogue(n, v int) []byte {
	var b strings.Builder
	for i := range dataCentres {
		fmt.Fprintf(&b, "[[DataCentres]]\nID = %q\nRegion = \"region-%d\"\nState = \"InService\"\n", dataCentre(i), i/dataCentresInRegion)
	}
	for i := range n {
		fmt.Fprintf(&b, "[[Services]]\nID = \"service-%d\"\nSlots = 10\nConnections = 130\nQueue = 20\n", i)
		for _, k := range []string{"read", "write"} {
			fmt.Fprintf(&b, "[[Entries]]\nID = \"service-%d-%s\"\nOwner = \"team-%d\"\nClass = \"Normal\"\nService = \"service-%d\"\nPathPrefix = \"/service-%d/%s\"\nIdempotent = %t\nTimeout = \"%dms\"\n",
				i, k, i%20, i, i, k, k == "read", 2000+timeoutChange(i, n, v))
			b.WriteString("[Entries.Limits]\nConcurrency = 200\nRate = 5000\nAttempts = 3\n[Entries.Objective]\nSuccess = 0.999\nLatency = \"250ms\"\n")
		}
	}
	return []byte(b.String())
}

// timeoutChange returns the milliseconds that revision v of the catalogue adds to
// the timeouts of the entries of service i, of n services.
func timeoutChange(i, n, v int) int {
	if i == v%n {
		return v
	}
	return 0
}

// instances returns the text of a list of n instances: the live instances a, which
// have a daemon, and others without one. The revision v determines which instance
// without a daemon has another port than in the other revisions.
//
// Instances without a daemon have loopback addresses at which no process listens.
// They belong to services without a daemon (of the s services), because a home
// sends requests to every listed instance of its service and would wait for them.
func instances(a []lavenderridge.Instance, n, s, v int) ([]byte, error) {
	l := &lavenderridge.InstanceList{Instances: append([]lavenderridge.Instance(nil), a...)}
	b := min(len(a)/dataCentres+1, s-1)
	for i := len(a); i < n; i++ {
		p := 1 + i
		if i == len(a)+v%max(1, n-len(a)) {
			p += v
		}
		l.Instances = append(l.Instances, lavenderridge.Instance{
			ID: lavenderridge.InstanceID(fmt.Sprintf("instance-%05d", i)), DataCentre: dataCentre(i),
			Service: lavenderridge.ServiceID(fmt.Sprintf("service-%d", b+i/dataCentres%(s-b))),
			Peer:    lavenderridge.Address(fmt.Sprintf("127.1.%d.%d:%d", i/250, 1+i%250, p)), State: lavenderridge.InstanceLeaving,
		})
	}
	return instancesjson.Format(l)
}
