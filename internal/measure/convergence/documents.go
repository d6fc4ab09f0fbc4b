package convergence

import (
	"fmt"
	"strings"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/instancesjson"
)

const (
	dataCentres         = 10
	dataCentresInRegion = 2
)

func dataCentre(i int) lavenderridge.DataCentreID {
	return lavenderridge.DataCentreID(fmt.Sprintf("dc-%d", i%dataCentres))
}

func service(i, n int) lavenderridge.ServiceID {
	return lavenderridge.ServiceID(fmt.Sprintf("service-%d", i/dataCentres%n))
}

// catalogue returns the text of a catalogue with n services. The number v
// changes one entry.
func catalogue(n, v int) []byte {
	var b strings.Builder
	for i := range dataCentres {
		fmt.Fprintf(&b, "[[DataCentres]]\nID = %q\nRegion = \"region-%d\"\nState = \"InService\"\n", dataCentre(i), i/dataCentresInRegion)
	}
	for i := range n {
		fmt.Fprintf(&b, "[[Services]]\nID = \"service-%d\"\nSlots = 10\nConnections = 130\nQueue = 20\n", i)
		for _, k := range []string{"read", "write"} {
			fmt.Fprintf(&b, "[[Entries]]\nID = \"service-%d-%s\"\nOwner = \"team-%d\"\nClass = \"Normal\"\nService = \"service-%d\"\nPathPrefix = \"/service-%d/%s\"\nIdempotent = %t\nTimeout = \"%dms\"\n",
				i, k, i%20, i, i, k, k == "read", 2000+entryChange(i, n, v))
			b.WriteString("[Entries.Limits]\nConcurrency = 200\nRate = 5000\nAttempts = 3\n[Entries.Objective]\nSuccess = 0.999\nLatency = \"250ms\"\n")
		}
	}
	return []byte(b.String())
}

func entryChange(i, n, v int) int {
	if i == v%n {
		return v
	}
	return 0
}

// instances returns the text of a list with the live instances a and others up
// to n. The number v changes the data of one that has no daemon. Those have
// loopback addresses at which nobody listens, and belong to services of which
// no daemon runs, because a home asks every listed instance of its service.
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
