package cataloguetoml_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
	"github.com/lavenderridge/lavenderridge/internal/transport/cataloguetoml"
)

// FuzzParse checks that no input causes a panic, and that every accepted
// catalogue refers only to services that it contains and is unchanged after
// canonical encoding and decoding.
func FuzzParse(f *testing.F) {
	for _, s := range []string{
		"", "[[Services]]\nID = \"a\"\nSlots = 1\nConnections = 1\n[[Entries]]\nID = \"e\"\nOwner = \"o\"\nClass = \"Normal\"\nService = \"a\"\nPathPrefix = \"/\"\nTimeout = \"1s\"\n",
		"[[Entries]]\nService = \"lost\"", "Colour = 1", "[[Services", "[[Services]]\nSlots = 1e400", "[[Entries]]\nTimeout = \"-9223372036854775808ns\"\n[Entries.Objective]\nSuccess = nan",
		"[[DataCentres]]\nID = \"\\u0000\"", "Services = {ID = 1}", "[[Entries]]\nMethods = [\"GET\", \"GET\"]\nPathPrefix = \"/\"",
	} {
		f.Add([]byte(s))
	}
	k := canonicalcbor.NewCodec()
	f.Fuzz(func(t *testing.T, b []byte) {
		c, e := cataloguetoml.Parse(b)
		if e != nil || len(configservice.ValidateCatalogue(c)) > 0 {
			return
		}
		s := lavenderridge.NewSnapshot(c, &lavenderridge.InstanceList{}, lavenderridge.Stamps{}, time.Time{})
		for _, v := range c.Entries {
			if s.Service(v.Service) == nil {
				t.Fatalf("entry %q refers to a service that does not exist", v.ID)
			}
		}
		x, e := k.EncodeCatalogue(c)
		if e != nil {
			t.Fatal(e)
		}
		d, e := k.DecodeCatalogue(x)
		if e != nil {
			t.Fatal(e)
		}
		if y, e := k.EncodeCatalogue(d); e != nil || !bytes.Equal(x, y) {
			t.Fatalf("encoding changed: %v", e)
		}
	})
}
