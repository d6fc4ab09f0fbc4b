package configservice_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
)

// TestSubstitution plays the failures of the two readers of a data centre, and prints whom
// they ask.
func TestSubstitution(t *testing.T) {
	var l *lavenderridge.InstanceList
	var u map[string]*configservice.Substitution
	datadriven.RunTest(t, "testdata/substitution", func(t *testing.T, d *datadriven.TestData) string {
		n := 0
		switch d.Cmd {
		case "instances":
			d.ScanArgs(t, "n", &n)
			l, u = &lavenderridge.InstanceList{}, map[string]*configservice.Substitution{}
			for i := range n {
				l.Instances = append(l.Instances, lavenderridge.Instance{ID: lavenderridge.InstanceID(fmt.Sprintf("10.0.0.%d", i)), DataCentre: "kyu-a", State: lavenderridge.InstanceLive})
			}
			return fmt.Sprintf("readers %v\n", configservice.Readers(l, nil, "kyu-a"))
		case "failed":
			var r, a string
			d.ScanArgs(t, "reader", &r)
			d.ScanArgs(t, "times", &n)
			d.ScanArgs(t, "age", &a)
			g, e := time.ParseDuration(a)
			if e != nil {
				d.Fatalf(t, "%v", e)
			}
			if u[r] == nil {
				u[r] = &configservice.Substitution{}
			}
			return fmt.Sprintf("asks %q\n", u[r].Next(l, nil, "kyu-a", lavenderridge.InstanceID(r), n, g))
		}
		d.Fatalf(t, "unknown command %s", d.Cmd)
		return ""
	})
}
