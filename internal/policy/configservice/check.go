package configservice

import (
	"errors"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/instancelist"
)

// CheckCatalogue parses the published text b with p and validates the result. It
// returns the findings of both steps together; the catalogue is valid if there
// are none.
func CheckCatalogue(p lavenderridge.Parser, b []byte) (*lavenderridge.Catalogue, lavenderridge.Findings) {
	c, e := p.ParseCatalogue(b)
	f := findingsOf(lavenderridge.DocumentCatalogue, e)
	if c != nil {
		f = mergeFindings(f, ValidateCatalogue(c))
	}
	return c, f
}

// CheckInstanceList parses and validates an instance list as CheckCatalogue does
// a catalogue.
func CheckInstanceList(p lavenderridge.Parser, b []byte) (*lavenderridge.InstanceList, lavenderridge.Findings) {
	l, e := p.ParseInstanceList(b)
	f := findingsOf(lavenderridge.DocumentInstanceList, e)
	if l != nil {
		f = mergeFindings(f, instancelist.Validate(l))
	}
	return l, f
}

// findingsOf returns the findings that e contains. Any other error becomes one
// finding whose place is the document d.
func findingsOf(d lavenderridge.DocumentName, e error) lavenderridge.Findings {
	var f lavenderridge.Findings
	if e != nil && !errors.As(e, &f) {
		f.Add(string(d), "%v", e)
	}
	return f
}

// mergeFindings appends to a the findings of b whose place does not occur in a.
// A value that was not parsed would otherwise give a second finding when it is
// validated.
func mergeFindings(a, b lavenderridge.Findings) lavenderridge.Findings {
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
