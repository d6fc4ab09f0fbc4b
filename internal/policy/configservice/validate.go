package configservice

import (
	"fmt"

	"github.com/lavenderridge/lavenderridge"
)

// ValidateCatalogue returns every fault of c: missing or duplicate names,
// values out of range and references to what the catalogue lacks.
func ValidateCatalogue(c *lavenderridge.Catalogue) lavenderridge.Findings {
	var f lavenderridge.Findings
	s := make(map[lavenderridge.ServiceID]bool, len(c.Services))
	for i, v := range c.Services {
		p := fmt.Sprintf("Services[%d]", i)
		if s[v.ID] {
			f.Add(p+".ID", "duplicate service %q", v.ID)
		}
		s[v.ID] = true
		if v.Slots < 1 {
			f.Add(p+".Slots", "%d is below 1", v.Slots)
		}
	}
	for i, v := range c.Entries {
		if !s[v.Service] {
			f.Add(fmt.Sprintf("Entries[%d].Service", i), "no service %q in this catalogue", v.Service)
		}
	}
	return f
}
