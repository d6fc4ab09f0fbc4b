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
		n := h["Connection"]
		v := dropHopByHop(h)
		dropNamed(v, n)
		if len(h) != len(v) {
			return "the header of the request is held twice\n"
		}
		return fmt.Sprintln(v)
	})
}
