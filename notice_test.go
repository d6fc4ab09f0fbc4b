package lavenderridge_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
)

// TestNotices parses the header fields of each line, a limit or "leaving=" with a
// value. The values come from outside and may be anything.
func TestNotices(t *testing.T) {
	datadriven.RunTest(t, "testdata/notice", func(_ *testing.T, d *datadriven.TestData) string {
		var l, g []string
		for s := range strings.Lines(d.Input) {
			s = strings.TrimSuffix(s, "\n")
			if v, o := strings.CutPrefix(s, "leaving="); o {
				g = append(g, v)
				continue
			}
			l = append(l, strings.Trim(s, "\""))
		}
		n := lavenderridge.NewNotice(l, g)
		return fmt.Sprintf("limited=%t limit=%g invalid=%t leaving=%t\n", n.Limited, n.Limit, n.Invalid, n.Leaving)
	})
}
