package configservice

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/instancelist"
)

// Limits of a catalogue.
const (
	maxDataCentres = 1 << 8
	maxOverrides   = 1 << 14
	maxServices    = 1 << 12
	maxEntries     = 1 << 13
	maxMethods     = 16
	maxShares      = 64
	maxName        = instancelist.MaxNameBytes
	maxPath        = 1 << 10
	maxSlots       = instancelist.MaxSlots
	maxCustomers   = 1 << 14
	maxKeys        = 1 << 15
	// maxCustomerBytes bounds the encoding of all customers, so that three quarters of that
	// of a catalogue remain for them and one for the rest. A customer has at most
	// customerBytes beside its name, and a key keyBytes.
	maxCustomerBytes = maxEncodedSize / 4 * 3
	customerBytes    = 64
	keyBytes         = 34
)

// validator collects the findings for one catalogue.
type validator struct {
	findings lavenderridge.Findings
	services map[lavenderridge.ServiceID]bool
}

// ValidateCatalogue returns a finding for every fault of c: empty or duplicate
// names, values out of range, ambiguous entries and references to services that
// the catalogue does not contain.
func ValidateCatalogue(c *lavenderridge.Catalogue) lavenderridge.Findings {
	v := &validator{services: make(map[lavenderridge.ServiceID]bool, len(c.Services))}
	v.count("DataCentres", len(c.DataCentres), maxDataCentres)
	v.count("Instances", len(c.Instances), maxOverrides)
	v.count("Services", len(c.Services), maxServices)
	v.count("Entries", len(c.Entries), maxEntries)
	v.countCustomers(c.Customers)
	if len(v.findings) > 0 {
		return v.findings
	}
	v.customers(c.Customers)
	v.dataCentres(c.DataCentres)
	v.instances(c.Instances)
	v.serviceList(c.Services)
	v.entries(c.Entries)
	return v.findings
}

func (v *validator) count(p string, n, m int) {
	if n > m {
		v.findings.Add(p, "%d items are above the limit of %d", n, m)
	}
}

func (v *validator) dataCentres(a []lavenderridge.DataCentre) {
	m := make(map[lavenderridge.DataCentreID]bool, len(a))
	for _, d := range a {
		p := place("DataCentres", string(d.ID))
		v.name(p+".ID", string(d.ID), m[d.ID])
		m[d.ID] = true
		v.name(p+".Region", string(d.Region), false)
		v.state(p+".State", d.State)
	}
}

func (v *validator) instances(a []lavenderridge.InstanceOverride) {
	m := make(map[lavenderridge.InstanceID]bool, len(a))
	for _, n := range a {
		p := place("Instances", string(n.ID))
		v.name(p+".ID", string(n.ID), m[n.ID])
		m[n.ID] = true
		v.state(p+".State", n.State)
	}
}

func (v *validator) serviceList(a []lavenderridge.Service) {
	for _, s := range a {
		p := place("Services", string(s.ID))
		v.name(p+".ID", string(s.ID), v.services[s.ID])
		v.services[s.ID] = true
		v.between(p+".Slots", float64(s.Slots), 1, maxSlots)
		v.between(p+".Connections", float64(s.Connections), 1, maxSlots)
		v.between(p+".Queue", float64(s.Queue), 0, maxSlots)
		v.between(p+".ColdRate", float64(s.ColdRate), 0, math.MaxInt32)
		v.between(p+".ColdStart", float64(s.ColdStart), 0, math.MaxInt64)
	}
}

func (v *validator) entries(a []lavenderridge.Entry) {
	m := make(map[lavenderridge.EntryID]bool, len(a))
	r := make(map[string]lavenderridge.EntryID, len(a))
	for i := range a {
		e := &a[i]
		p := place("Entries", string(e.ID))
		v.name(p+".ID", string(e.ID), m[e.ID])
		m[e.ID] = true
		v.entry(p, e)
		v.route(p, e, r)
	}
}

func (v *validator) entry(p string, e *lavenderridge.Entry) {
	v.name(p+".Owner", string(e.Owner), false)
	v.class(p+".Class", e.Class)
	for _, s := range e.Split {
		if !v.services[s.Service] {
			v.findings.Add(p+".Split", "no service %q in this catalogue", s.Service)
		}
		v.between(p+".Split.Weight", s.Weight, 0, math.MaxInt32)
	}
	if len(e.Split) > maxShares {
		v.findings.Add(p+".Split", "%d shares are above the limit of %d", len(e.Split), maxShares)
	}
	if len(e.Host) > maxName {
		v.findings.Add(p+".Host", "%d bytes are above the limit of %d", len(e.Host), maxName)
	}
	if !v.services[e.Service] {
		v.findings.Add(p+".Service", "no service %q in this catalogue", e.Service)
	}
	if e.Timeout <= 0 {
		v.findings.Add(p+".Timeout", "%s is not above 0", e.Timeout)
	}
	v.between(p+".Limits.Concurrency", float64(e.Limits.Concurrency), 0, math.MaxInt32)
	v.between(p+".Limits.Rate", float64(e.Limits.Rate), 0, math.MaxInt32)
	v.between(p+".Objective.Success", float64(e.Objective.Success), 0, 1)
	if e.Objective.Latency < 0 {
		v.findings.Add(p+".Objective.Latency", "%s is below 0", e.Objective.Latency)
	}
}

// route checks the path prefix and the methods of e. The map r holds the entry
// for each combination of method, host and path prefix that has been checked.
func (v *validator) route(p string, e *lavenderridge.Entry, r map[string]lavenderridge.EntryID) {
	if !strings.HasPrefix(e.PathPrefix, "/") {
		v.findings.Add(p+".PathPrefix", "%q does not begin with \"/\"", e.PathPrefix)
	}
	if len(e.PathPrefix) > maxPath {
		v.findings.Add(p+".PathPrefix", "%d bytes are above the limit of %d", len(e.PathPrefix), maxPath)
	}
	if len(e.Methods) > maxMethods {
		v.findings.Add(p+".Methods", "%d methods are above the limit of %d", len(e.Methods), maxMethods)
		return
	}
	a := e.Methods
	if len(a) == 0 {
		a = []string{"any method"}
	}
	for _, m := range slices.Compact(slices.Sorted(slices.Values(a))) {
		if m == "" || strings.ToUpper(m) != m && m != "any method" {
			v.findings.Add(p+".Methods", "%q is not a method in capitals", m)
		}
		k := m + " " + e.Host + e.PathPrefix
		if o, x := r[k]; x {
			v.findings.Add(p+".PathPrefix", "entry %q has the same path prefix and method (%s)", o, m)
			return
		}
		r[k] = e.ID
	}
}

// countCustomers checks the size of the customers and their keys.
func (v *validator) countCustomers(a []lavenderridge.Customer) {
	v.count("Customers", len(a), maxCustomers)
	n, b := 0, lavenderridge.ByteCount(0)
	for i := range a {
		n += len(a[i].Keys)
		b += lavenderridge.ByteCount(customerBytes + len(a[i].ID) + len(a[i].Keys)*keyBytes)
	}
	if n > maxKeys {
		v.findings.Add("Customers", "%d keys are above the limit of %d", n, maxKeys)
	}
	if b > maxCustomerBytes {
		v.findings.Add("Customers", "%d bytes are above the limit of %d", b, maxCustomerBytes)
	}
}

func (v *validator) customers(a []lavenderridge.Customer) {
	m := make(map[lavenderridge.CustomerID]bool, len(a))
	k := make(map[lavenderridge.CustomerKey]lavenderridge.CustomerID, len(a))
	for i := range a {
		c := &a[i]
		p := place("Customers", string(c.ID))
		v.name(p+".ID", string(c.ID), m[c.ID])
		m[c.ID] = true
		v.customerID(p+".ID", c.ID)
		if c.Class != 0 {
			v.class(p+".Class", c.Class)
		}
		v.between(p+".Quota.Rate", float64(c.Quota.Rate), 0, math.MaxInt32)
		v.between(p+".Quota.Burst", float64(c.Quota.Burst), 0, math.MaxInt32)
		v.keys(p, c, k)
	}
}

// customerID checks that backend servers can receive the name d in a header field.
func (v *validator) customerID(p string, d lavenderridge.CustomerID) {
	for _, b := range []byte(d) {
		if b < ' ' || b > '~' {
			v.findings.Add(p, "has characters other than printable ASCII")
			return
		}
	}
	if strings.TrimSpace(string(d)) != string(d) {
		v.findings.Add(p, "begins or ends with a space")
	}
}

// keys checks the keys of c, whose place is p. The map m holds the customer of each key
// that has been checked. Findings name no key, because keys are secrets.
func (v *validator) keys(p string, c *lavenderridge.Customer, m map[lavenderridge.CustomerKey]lavenderridge.CustomerID) {
	p += ".Keys"
	for _, k := range c.Keys {
		switch d, o := m[k]; {
		case k == lavenderridge.CustomerKey{}:
			v.findings.Add(p, "one is empty")
		case o && d == c.ID:
			v.findings.Add(p, "the same key twice")
		case o:
			v.findings.Add(p, "customer %q has the same key", d)
		}
		m[k] = c.ID
	}
}

func (v *validator) class(p string, c lavenderridge.Class) {
	if c < lavenderridge.ClassBackground || c > lavenderridge.ClassCritical {
		v.findings.Add(p, "want Background, Normal, Urgent or Critical")
	}
}

func (v *validator) name(p, s string, d bool) {
	switch {
	case s == "":
		v.findings.Add(p, "is empty")
	case len(s) > maxName:
		v.findings.Add(p, "%d bytes are above the limit of %d", len(s), maxName)
	case d:
		v.findings.Add(p, "duplicate name")
	}
}

func (v *validator) state(p string, s lavenderridge.ServiceState) {
	if s != lavenderridge.InService && s != lavenderridge.OutOfService {
		v.findings.Add(p, "%q is not a state; want InService or OutOfService", s)
	}
}

func (v *validator) between(p string, n, a, b float64) {
	if !(n >= a && n <= b) {
		v.findings.Add(p, "%v is not between %v and %v", n, a, b)
	}
}

func place(s, n string) string {
	return fmt.Sprintf("%s[%q]", s, n)
}
