package configservice

import (
	"errors"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/instancelist"
)

// CheckCatalogue reads the published text b with p. It returns every fault of
// form and of content together; the catalogue is good when there is none.
func CheckCatalogue(p lavenderridge.Parser, b []byte) (*lavenderridge.Catalogue, lavenderridge.Findings) {
	c, e := p.ParseCatalogue(b)
	f := findingsOf(lavenderridge.DocumentCatalogue, e)
	if c != nil {
		f = join(f, ValidateCatalogue(c))
	}
	return c, f
}

// CheckInstanceList does for the instance list what CheckCatalogue does for
// the catalogue.
func CheckInstanceList(p lavenderridge.Parser, b []byte) (*lavenderridge.InstanceList, lavenderridge.Findings) {
	l, e := p.ParseInstanceList(b)
	f := findingsOf(lavenderridge.DocumentInstanceList, e)
	if l != nil {
		f = join(f, instancelist.Validate(l))
	}
	return l, f
}

func findingsOf(d lavenderridge.DocumentName, e error) lavenderridge.Findings {
	var f lavenderridge.Findings
	if e != nil && !errors.As(e, &f) {
		f.Add(string(d), "%v", e)
	}
	return f
}

// join appends the findings of b whose place a does not have yet.
func join(a, b lavenderridge.Findings) lavenderridge.Findings {
	m := make(map[string]bool, len(a))
	for _, v := range a {
		m[v.Place] = true
	}
	for _, v := range b {
		if !m[v.Place] {
			a = append(a, v)
		}
	}
	return a
}
