package cataloguetoml_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/confighttp"
)

// TestExamples checks that the example catalogues have no findings.
func TestExamples(t *testing.T) {
	for _, n := range []string{"shiranami.toml", "cedarfalls.toml", "catalogue.toml"} {
		b, e := os.ReadFile(filepath.Join("..", "..", "..", "examples", n))
		if e != nil {
			t.Fatal(e)
		}
		if _, f := configservice.CheckCatalogue(confighttp.Parser{}, b); len(f) > 0 {
			t.Errorf("%s: %v", n, f)
		}
	}
}
