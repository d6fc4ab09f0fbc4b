package judge

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestJudge prints the findings for the histories that the golden file holds as
// JSON.
func TestJudge(t *testing.T) {
	datadriven.RunTest(t, "testdata/judge", func(t *testing.T, d *datadriven.TestData) string {
		var v History
		if e := json.Unmarshal([]byte(d.Input), &v); e != nil {
			t.Fatal(e)
		}
		var b strings.Builder
		for _, f := range Judge(&v) {
			_, _ = fmt.Fprintln(&b, f)
		}
		if b.Len() == 0 {
			return "nothing\n"
		}
		return b.String()
	})
}
