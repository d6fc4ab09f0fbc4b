package peer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
)

func listOf(n, dataCentres int) *lavenderridge.InstanceList {
	l := &lavenderridge.InstanceList{}
	for i := range n {
		l.Instances = append(l.Instances, lavenderridge.Instance{
			ID:         lavenderridge.InstanceID(fmt.Sprintf("instance-%05d", i)),
			DataCentre: lavenderridge.DataCentreID(fmt.Sprintf("dc-%d", i%dataCentres)),
			State:      lavenderridge.InstanceLive,
		})
	}
	return l
}

// graph returns the union of all selections, without the instances that are down.
func graph(m *Membership, l *lavenderridge.InstanceList, down func(lavenderridge.InstanceID) bool) map[lavenderridge.InstanceID][]lavenderridge.InstanceID {
	g := map[lavenderridge.InstanceID][]lavenderridge.InstanceID{}
	add := func(a, b lavenderridge.InstanceID) {
		if !slices.Contains(g[a], b) {
			g[a] = append(g[a], b)
		}
	}
	for _, n := range l.Instances {
		if down(n.ID) {
			continue
		}
		for _, c := range m.Outbound(n.ID, n.DataCentre, down) {
			add(n.ID, c.ID)
			add(c.ID, n.ID)
		}
	}
	return g
}

// reach returns the number of instances that gossip from the given one reaches
// and the number of hops that this takes.
func reach(g map[lavenderridge.InstanceID][]lavenderridge.InstanceID, from lavenderridge.InstanceID) (count, steps int) {
	seen := map[lavenderridge.InstanceID]bool{from: true}
	for edge := []lavenderridge.InstanceID{from}; len(edge) > 0; steps++ {
		var next []lavenderridge.InstanceID
		for _, a := range edge {
			for _, b := range g[a] {
				if !seen[b] {
					seen[b] = true
					next = append(next, b)
				}
			}
		}
		edge = next
	}
	return len(seen), steps - 1
}

func downSet(l *lavenderridge.InstanceList, dataCentres, percent int) func(lavenderridge.InstanceID) bool {
	r := rand.New(rand.NewPCG(1, 1))
	s := map[lavenderridge.InstanceID]bool{}
	for _, n := range l.Instances {
		var d int
		_, _ = fmt.Sscanf(string(n.DataCentre), "dc-%d", &d)
		s[n.ID] = d < dataCentres || r.IntN(100) < percent
	}
	return func(d lavenderridge.InstanceID) bool { return s[d] }
}

// TestGraph guards against a graph of neighbours that is not connected, or has too
// many hops or neighbours, with and without instances down.
func TestGraph(t *testing.T) {
	datadriven.RunTest(t, "testdata/graph", func(t *testing.T, d *datadriven.TestData) string {
		var n, c, deadDC, dead int
		d.ScanArgs(t, "instances", &n)
		d.ScanArgs(t, "data-centres", &c)
		d.MaybeScanArgs(t, "down-data-centres", &deadDC)
		d.MaybeScanArgs(t, "down-percent", &dead)
		l := listOf(n, c)
		m := NewMembership(l)
		down := downSet(l, deadDC, dead)
		g := graph(m, l, down)
		alive := 0
		var from lavenderridge.InstanceID
		low, high, sum := n, 0, 0
		for _, v := range l.Instances {
			if down(v.ID) {
				continue
			}
			alive, from = alive+1, v.ID
			low, high, sum = min(low, len(g[v.ID])), max(high, len(g[v.ID])), sum+len(g[v.ID])
		}
		k, s := reach(g, from)
		return fmt.Sprintf("up %d, reached %d in %d steps, neighbours min %d mean %.1f max %d, symmetric %t\n", alive, k, s, low, float64(sum)/float64(alive), high, symmetric(m, l))
	})
}

// symmetric reports whether the neighbours that an instance computes for itself
// are those of the graph, for a sample of the instances and with none down.
func symmetric(m *Membership, l *lavenderridge.InstanceList) bool {
	g := graph(m, l, func(lavenderridge.InstanceID) bool { return false })
	for i := 0; i < len(l.Instances); i += max(1, len(l.Instances)/20) {
		v := l.Instances[i]
		var a []lavenderridge.InstanceID
		for _, n := range m.Neighbours(v.ID, v.DataCentre, m.Inbound(v.ID, v.DataCentre), nil) {
			a = append(a, n.ID)
		}
		b := slices.Clone(g[v.ID])
		slices.Sort(a)
		slices.Sort(b)
		if !slices.Equal(a, b) {
			return false
		}
	}
	return true
}

// BenchmarkNeighbours measures the cost of a change of the instance list.
func BenchmarkNeighbours(b *testing.B) {
	l := listOf(3500, 10)
	for b.Loop() {
		m := NewMembership(l)
		m.Neighbours("instance-00000", "dc-0", m.Inbound("instance-00000", "dc-0"), nil)
	}
}
