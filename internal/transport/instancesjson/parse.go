package instancesjson

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"slices"

	"github.com/lavenderridge/lavenderridge"
)

// file mirrors the published format.
type file struct {
	Instances []lavenderridge.Instance
}

// Parse returns the instance list in b, sorted by ID. Its error is
// lavenderridge.Findings.
func Parse(b []byte) (*lavenderridge.InstanceList, error) {
	var v file
	var f lavenderridge.Findings
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if e := d.Decode(&v); e != nil {
		f.Add("instances", "%v", e)
		return nil, f
	}
	if _, e := d.Token(); !errors.Is(e, io.EOF) {
		f.Add("instances", "more follows the list")
		return nil, f
	}
	slices.SortStableFunc(v.Instances, func(a, b lavenderridge.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return &lavenderridge.InstanceList{Instances: v.Instances}, nil
}

// Format returns the published form of l.
func Format(l *lavenderridge.InstanceList) ([]byte, error) {
	return json.MarshalIndent(file{Instances: l.Instances}, "", "  ")
}
