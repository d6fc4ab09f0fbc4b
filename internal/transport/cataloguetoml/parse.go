package cataloguetoml

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/lavenderridge/lavenderridge"
)

// Parse returns the catalogue in the TOML text b. Its error is a
// lavenderridge.Findings that lists faults of form, such as unknown names, each
// with its line or key path. If the text is valid TOML with the right types, the
// catalogue is returned along with the error, so that the caller can check its
// content too.
func Parse(b []byte) (*lavenderridge.Catalogue, error) {
	var v file
	var f lavenderridge.Findings
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if e := d.Decode(&v); e != nil {
		f = decodeFindings(e)
		v = file{}
		if toml.Unmarshal(b, &v) != nil {
			return nil, f
		}
	}
	c := v.catalogue(&f)
	return c, f.Err()
}

func decodeFindings(e error) lavenderridge.Findings {
	var f lavenderridge.Findings
	var s *toml.StrictMissingError
	var d *toml.DecodeError
	switch {
	case errors.As(e, &s):
		for _, v := range s.Errors {
			l, _ := v.Position()
			f.Add(place(l, v.Key()), "unknown name")
		}
	case errors.As(e, &d):
		l, _ := d.Position()
		f.Add(place(l, d.Key()), "%s", d.Error())
	default:
		f.Add("catalogue", "%v", e)
	}
	return f
}

func place(l int, k toml.Key) string {
	if len(k) == 0 {
		return fmt.Sprintf("line %d", l)
	}
	return fmt.Sprintf("line %d: %s", l, joinKey(k))
}

func joinKey(k toml.Key) string {
	var b bytes.Buffer
	for i, s := range k {
		if i > 0 {
			b.WriteByte('.')
		}
		b.WriteString(s)
	}
	return b.String()
}

func parseDuration(f *lavenderridge.Findings, p, s string) time.Duration {
	if s == "" {
		return 0
	}
	d, e := time.ParseDuration(s)
	if e != nil {
		f.Add(p, "%q is not a duration such as \"250ms\" or \"2s\"", s)
	}
	return d
}
