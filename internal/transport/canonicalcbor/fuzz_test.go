package canonicalcbor_test

import (
	"bytes"
	"testing"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
)

// FuzzDecode checks that no input causes a panic in a decoder, that a decoded
// catalogue has exactly one encoding, and that a decoded instance list or delta can
// be compared with or applied to another document without a panic.
func FuzzDecode(f *testing.F) {
	k := canonicalcbor.NewCodec()
	c := &lavenderridge.Catalogue{Services: []lavenderridge.Service{{ID: "a", Slots: 1}}, Entries: []lavenderridge.Entry{{ID: "e", Service: "a"}}}
	l := &lavenderridge.InstanceList{Instances: []lavenderridge.Instance{{ID: "n"}, {ID: "o"}}}
	add := func(b []byte, e error) {
		if e != nil {
			f.Fatal(e)
		}
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	add(k.EncodeCatalogue(c))
	add(k.EncodeInstanceList(l))
	add(k.EncodeCatalogueDelta(configservice.DiffCatalogue(&lavenderridge.Catalogue{}, c)))
	add(k.EncodeInstanceListDelta(configservice.DiffInstanceList(l, &lavenderridge.InstanceList{})))
	f.Add([]byte{0x9f, 0xff})
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if d, e := k.DecodeCatalogue(b); e == nil {
			x, _ := k.EncodeCatalogue(d)
			v, e := k.DecodeCatalogue(x)
			if e != nil {
				t.Fatal(e)
			}
			if y, _ := k.EncodeCatalogue(v); !bytes.Equal(x, y) {
				t.Fatal("the catalogue has two different encodings")
			}
		}
		if d, e := k.DecodeInstanceList(b); e == nil {
			configservice.DiffInstanceList(l, d)
		}
		if d, e := k.DecodeCatalogueDelta(b); e == nil {
			configservice.PatchCatalogue(c, d)
		}
		if d, e := k.DecodeInstanceListDelta(b); e == nil {
			configservice.PatchInstanceList(l, d)
		}
	})
}
