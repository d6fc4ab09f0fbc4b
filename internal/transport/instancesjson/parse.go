package instancesjson

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"

	"github.com/lavenderridge/lavenderridge"
)

// file has the structure of the published JSON document.
type file struct {
	Instances []lavenderridge.Instance
}

// Parse returns the instance list in the JSON text b, sorted by ID. Its error is
// a lavenderridge.Findings. If the text is valid JSON with the right types, the
// list is returned along with the error, so that the caller can check its
// content too.
func Parse(b []byte) (*lavenderridge.InstanceList, error) {
	var f lavenderridge.Findings
	v, e := decode(b, true)
	if e != nil {
		f.Add("instances", "%v", e)
		if v, e = decode(b, false); e != nil {
			return nil, f
		}
	}
	for _, n := range v.Instances {
		if _, e := netip.ParseAddrPort(string(n.Peer)); e != nil {
			f.Add(fmt.Sprintf("Instances[%q].Peer", n.ID), "%q is not an IP address with a port", n.Peer)
		}
	}
	slices.SortStableFunc(v.Instances, func(a, b lavenderridge.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return &lavenderridge.InstanceList{Instances: v.Instances}, f.Err()
}

// decode decodes b. If s is true, unknown names are errors.
func decode(b []byte, s bool) (*file, error) {
	var v file
	d := json.NewDecoder(bytes.NewReader(b))
	if s {
		d.DisallowUnknownFields()
	}
	if e := d.Decode(&v); e != nil {
		return nil, e
	}
	if _, e := d.Token(); !errors.Is(e, io.EOF) {
		return nil, errors.New("unexpected data after the instance list")
	}
	return &v, nil
}

// Format returns l as JSON text in the published format.
func Format(l *lavenderridge.InstanceList) ([]byte, error) {
	return json.MarshalIndent(file{Instances: l.Instances}, "", "  ")
}
