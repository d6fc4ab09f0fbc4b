package instancesjson_test

import (
	"testing"

	"github.com/lavenderridge/lavenderridge/internal/policy/instancelist"
	"github.com/lavenderridge/lavenderridge/internal/transport/instancesjson"
)

// FuzzParse checks that no input causes a panic, and that every accepted list
// has the same number of instances after Format and Parse.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		"", "{}", `{"Instances": null}`, `{"Instances": [`, `{"Instances": []} {}`, `{"Instances": [{"ID": "a", "Colour": 1}]}`,
		`{"Instances": [{"ID": "a", "DataCentre": "d", "Service": "s", "Peer": "127.0.0.1:1", "State": "Live"}]}`,
		`{"Instances": [{"ID": "a", "DataCentre": "d", "Service": "s", "Peer": "[::1]:1", "State": "Leaving"}]}`, `{"instances": [{"id": 1}]}`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		l, e := instancesjson.Parse(b)
		if e != nil || len(instancelist.Validate(l)) > 0 {
			return
		}
		x, e := instancesjson.Format(l)
		if e != nil {
			t.Fatal(e)
		}
		if m, e := instancesjson.Parse(x); e != nil || len(m.Instances) != len(l.Instances) {
			t.Fatalf("the list changed after Format and Parse: %v", e)
		}
	})
}
