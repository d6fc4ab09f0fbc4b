package cataloguetoml

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/lavenderridge/lavenderridge"
)

// file has the structure of the published TOML document.
type file struct {
	DataCentres []fileDataCentre
	Instances   []fileInstance
	Services    []fileService
	Entries     []fileEntry
}

type fileDataCentre struct {
	ID     string
	Region string
	State  string
}

type fileInstance struct {
	ID    string
	State string
}

type fileService struct {
	ID          string
	Slots       int
	Connections int
	Queue       int
}

type fileEntry struct {
	ID         string
	Owner      string
	Class      string
	Service    string
	PathPrefix string
	Methods    []string
	Idempotent bool
	Timeout    string
	Limits     fileLimits
	Objective  fileObjective
}

type fileLimits struct {
	Concurrency int
	Rate        float64
	Attempts    uint16
}

type fileObjective struct {
	Success float64
	Latency string
}

// catalogue returns the catalogue in v with all lists sorted by ID, and adds its
// faults to f.
func (v *file) catalogue(f *lavenderridge.Findings) *lavenderridge.Catalogue {
	c := &lavenderridge.Catalogue{}
	for _, d := range v.DataCentres {
		c.DataCentres = append(c.DataCentres, lavenderridge.DataCentre{
			ID: lavenderridge.DataCentreID(d.ID), Region: lavenderridge.RegionID(d.Region),
			State: lavenderridge.ServiceState(d.State),
		})
	}
	for _, n := range v.Instances {
		c.Instances = append(c.Instances, lavenderridge.InstanceOverride{
			ID: lavenderridge.InstanceID(n.ID), State: lavenderridge.ServiceState(n.State),
		})
	}
	for _, s := range v.Services {
		c.Services = append(c.Services, lavenderridge.Service{
			ID: lavenderridge.ServiceID(s.ID), Slots: lavenderridge.Slots(s.Slots),
			Connections: lavenderridge.Connections(s.Connections), Queue: lavenderridge.Slots(s.Queue),
		})
	}
	for i := range v.Entries {
		c.Entries = append(c.Entries, v.Entries[i].entry(f, fmt.Sprintf("Entries[%q]", v.Entries[i].ID)))
	}
	sortCatalogue(c)
	return c
}

// entry returns the catalogue entry in v and adds its faults to f. Their places
// begin with p.
func (v *fileEntry) entry(f *lavenderridge.Findings, p string) lavenderridge.Entry {
	c, o := lavenderridge.ParseClass(v.Class)
	if !o {
		f.Add(p+".Class", "%q is not a class; want Background, Normal, Urgent or Critical", v.Class)
	}
	return lavenderridge.Entry{
		ID: lavenderridge.EntryID(v.ID), Owner: lavenderridge.OwnerID(v.Owner), Class: c,
		Service: lavenderridge.ServiceID(v.Service), PathPrefix: v.PathPrefix, Methods: v.Methods,
		Idempotent: v.Idempotent, Timeout: parseDuration(f, p+".Timeout", v.Timeout),
		Limits: lavenderridge.Limits{
			Concurrency: lavenderridge.Slots(v.Limits.Concurrency),
			Rate:        lavenderridge.Rate(v.Limits.Rate),
			Attempts:    lavenderridge.Attempt(v.Limits.Attempts),
		},
		Objective: lavenderridge.Objective{
			Success: lavenderridge.Ratio(v.Objective.Success),
			Latency: parseDuration(f, p+".Objective.Latency", v.Objective.Latency),
		},
	}
}

func sortCatalogue(c *lavenderridge.Catalogue) {
	slices.SortStableFunc(c.DataCentres, func(a, b lavenderridge.DataCentre) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(c.Instances, func(a, b lavenderridge.InstanceOverride) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(c.Services, func(a, b lavenderridge.Service) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(c.Entries, func(a, b lavenderridge.Entry) int { return cmp.Compare(a.ID, b.ID) })
}
