package callerhttp

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestFieldsOfOneConnectionStayThere guards against fields that reach the next hop
// although they apply to one connection only.
func TestFieldsOfOneConnectionStayThere(t *testing.T) {
	datadriven.RunTest(t, "testdata/hopbyhop", func(_ *testing.T, d *datadriven.TestData) string {
		h := http.Header{}
		for l := range strings.Lines(d.Input) {
			if k, v, o := strings.Cut(strings.TrimSpace(l), ": "); o {
				h.Add(k, v)
			}
		}
		n := len(h)
		v := withoutHopByHop(h)
		dropNamed(v, h["Connection"])
		if len(h) != n {
			return "the header of the request was changed\n"
		}
		return fmt.Sprintln(v)
	})
}
