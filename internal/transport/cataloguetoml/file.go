package cataloguetoml

import (
	"cmp"
	"encoding/hex"
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
	Customers   []fileCustomer `toml:",omitempty"`
}

type fileCustomer struct {
	ID string
	// Keys are the hashes of the keys in hexadecimal digits, so that the file contains no
	// secret.
	Keys  []string
	Class string    `toml:",omitempty"`
	Quota fileQuota `toml:",omitempty"`
}

type fileQuota struct {
	Rate  float64
	Burst int64
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
	Public     bool `toml:",omitempty"`
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
	for i := range v.Customers {
		c.Customers = append(c.Customers, v.Customers[i].customer(f, fmt.Sprintf("Customers[%q]", v.Customers[i].ID)))
	}
	sortCatalogue(c)
	return c
}

// customer returns the customer in v and adds its faults to f. Their places begin with p.
func (v *fileCustomer) customer(f *lavenderridge.Findings, p string) lavenderridge.Customer {
	c := lavenderridge.Customer{
		ID:    lavenderridge.CustomerID(v.ID),
		Quota: lavenderridge.Quota{Rate: lavenderridge.Rate(v.Quota.Rate), Burst: lavenderridge.Requests(v.Quota.Burst)},
	}
	if v.Class != "" {
		c.Class = parseClass(f, p+".Class", v.Class)
	}
	for i, s := range v.Keys {
		b, e := hex.DecodeString(s)
		if e != nil || len(b) != len(lavenderridge.CustomerKey{}) {
			// The text is not quoted: it may be a key in place of its hash.
			f.Add(fmt.Sprintf("%s.Keys[%d]", p, i), "is not the hash of a key; see lavenderridge hash-key")
			continue
		}
		c.Keys = append(c.Keys, lavenderridge.CustomerKey(b))
	}
	slices.SortFunc(c.Keys, lavenderridge.CustomerKey.Compare)
	return c
}

// entry returns the catalogue entry in v and adds its faults to f. Their places
// begin with p.
func (v *fileEntry) entry(f *lavenderridge.Findings, p string) lavenderridge.Entry {
	return lavenderridge.Entry{
		ID: lavenderridge.EntryID(v.ID), Owner: lavenderridge.OwnerID(v.Owner), Class: parseClass(f, p+".Class", v.Class), Public: v.Public,
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

// parseClass returns the class with the name s, or adds a finding with the place p to f.
func parseClass(f *lavenderridge.Findings, p, s string) lavenderridge.Class {
	c, o := lavenderridge.ParseClass(s)
	if !o {
		f.Add(p, "%q is not a class; want Background, Normal, Urgent or Critical", s)
	}
	return c
}

func sortCatalogue(c *lavenderridge.Catalogue) {
	slices.SortStableFunc(c.DataCentres, func(a, b lavenderridge.DataCentre) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(c.Instances, func(a, b lavenderridge.InstanceOverride) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(c.Services, func(a, b lavenderridge.Service) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(c.Entries, func(a, b lavenderridge.Entry) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(c.Customers, func(a, b lavenderridge.Customer) int { return cmp.Compare(a.ID, b.ID) })
}
