package caller_test

import (
	"math"
	"testing"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
)

// TestSplitter checks that even a few requests are distributed by the weights,
// whatever the start of the splitter's sequence.
func TestSplitter(t *testing.T) {
	e := &lavenderridge.Entry{ID: "e", Service: "a", Split: []lavenderridge.ServiceShare{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	for b := range 10 {
		s := caller.NewSplitter(float64(b) / 10)
		c := map[lavenderridge.ServiceID]int{}
		for range 60 {
			c[s.Service(e)]++
		}
		if math.Abs(float64(c["a"])-54) > 2 || c["c"] > 0 {
			t.Errorf("start %d/10: requests of each service: %v", b, c)
		}
	}
	if d := caller.NewSplitter(0).Service(&lavenderridge.Entry{Service: "z"}); d != "z" {
		t.Errorf("entry without shares: got service %s; want z", d)
	}
}
