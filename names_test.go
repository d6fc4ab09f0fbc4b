package lavenderridge_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// platformNames matches names that have no meaning outside the protocols of the
// users' platform.
var platformNames = regexp.MustCompile(`kv-(key|range|watch)|Server-Seal|Not-Executed|Expect-Instance|Caller-Service|Deadline-Ms|Cold-Ms|virtualHosts|routeType|non_idempotent|coldPerS|coldLeft|trafficSplit|appAddr|createdRev|staleOk|"op/config"|"servers/"`)

// TestPlatformStaysApart checks that no source file outside the folder platform
// contains a name of the platform's protocols. Tests are not checked.
func TestPlatformStaysApart(t *testing.T) {
	for _, f := range sourceFiles(t) {
		if strings.HasPrefix(f.path, "platform/") {
			continue
		}
		b, e := os.ReadFile(f.path)
		if e != nil {
			t.Fatal(e)
		}
		if n := platformNames.FindString(string(b)); n != "" {
			t.Errorf("%s uses the platform's name %q", f.path, n)
		}
	}
}
