package operator

import (
	"maps"
	"slices"
)

// A Report holds the service-level burn rates over several daemons.
type Report struct {
	ByEntry      []ReportLine
	ByDataCentre []ReportLine
}

// NewReport returns the report for the rows of all queried daemons. It sums the
// counts and computes the rates from the sums; rates are never averaged.
func NewReport(r []Row) Report {
	e, d := map[string]*ReportLine{}, map[string]*ReportLine{}
	for i := range r {
		addRow(e, string(r[i].Entry), &r[i])
		addRow(d, string(r[i].DataCentre), &r[i])
	}
	return Report{ByEntry: finishLines(e), ByDataCentre: finishLines(d)}
}

// addRow adds the row r to the line with the name n, which it creates if needed.
func addRow(m map[string]*ReportLine, n string, r *Row) {
	if m[n] == nil {
		m[n] = &ReportLine{Name: n}
	}
	m[n].add(r)
}

// finishLines finishes the lines of m and returns them sorted by name.
func finishLines(m map[string]*ReportLine) []ReportLine {
	a := make([]ReportLine, 0, len(m))
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
