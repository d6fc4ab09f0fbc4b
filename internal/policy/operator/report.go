package operator

import (
	"maps"
	"slices"
)

// A Report is the service-level burn over several daemons.
type Report struct {
	ByEntry      []Line
	ByDataCentre []Line
}

// NewReport returns the report of the rows of every daemon asked. It sums
// counts and works out rates from the sums; rates are never averaged.
func NewReport(r []Row) Report {
	e, d := map[string]*Line{}, map[string]*Line{}
	for i := range r {
		addTo(e, string(r[i].Entry), &r[i])
		addTo(d, string(r[i].DataCentre), &r[i])
	}
	return Report{ByEntry: finished(e), ByDataCentre: finished(d)}
}

func addTo(m map[string]*Line, n string, r *Row) {
	if m[n] == nil {
		m[n] = &Line{Name: n}
	}
	m[n].add(r)
}

func finished(m map[string]*Line) []Line {
	a := make([]Line, 0, len(m))
	for _, n := range slices.Sorted(maps.Keys(m)) {
		m[n].finish()
		a = append(a, *m[n])
	}
	return a
}

// Alert returns the most urgent alert of the report.
func (r Report) Alert() Alert {
	var a Alert
	for _, l := range slices.Concat(r.ByEntry, r.ByDataCentre) {
		a = max(a, l.Alert)
	}
	return a
}
