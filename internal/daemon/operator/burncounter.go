package operator

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// maxSeries bounds the pairs of entry and data centre that are counted. One
// pair takes up to 12 KiB.
const maxSeries = 1024

// A BurnCounter counts good and bad requests by entry and data centre.
type BurnCounter struct {
	series  *copyMap[seriesKey, *operator.Series]
	dropped atomic.Uint64
}

var _ lavenderridge.Observer = (*BurnCounter)(nil)

// seriesKey is one pair of entry and data centre.
type seriesKey struct {
	entry      lavenderridge.EntryID
	dataCentre lavenderridge.DataCentreID
}

// NewBurnCounter returns a counter without counts.
func NewBurnCounter() *BurnCounter {
	return &BurnCounter{series: newCopyMap(maxSeries, func(seriesKey) *operator.Series { return &operator.Series{} })}
}

// Observe implements lavenderridge.Observer.
func (b *BurnCounter) Observe(o lavenderridge.Observation) {
	s, k := b.series.get(seriesKey{entry: o.Entry, dataCentre: o.DataCentre})
	if !k {
		b.dropped.Add(1)
		return
	}
	s.Add(o.Time, o.Good)
}

// Dropped returns how many requests were left out because too many pairs of
// entry and data centre had been met.
func (b *BurnCounter) Dropped() uint64 {
	return b.dropped.Load()
}

// Rows returns the counts at the time t, sorted by entry and data centre, with
// the objectives of the snapshot s, which may be nil.
func (b *BurnCounter) Rows(s *lavenderridge.Snapshot, t time.Time) []operator.Row {
	m := objectives(s)
	a := []operator.Row{}
	for k, v := range b.series.all() {
		a = append(a, operator.Row{
			Entry: k.entry, DataCentre: k.dataCentre, Success: m[k.entry], Windows: v.Counts(t),
		})
	}
	slices.SortFunc(a, func(a, b operator.Row) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return a
}

func objectives(s *lavenderridge.Snapshot) map[lavenderridge.EntryID]lavenderridge.Ratio {
	m := map[lavenderridge.EntryID]lavenderridge.Ratio{}
	if s == nil {
		return m
	}
	for i := range s.Catalogue.Entries {
		m[s.Catalogue.Entries[i].ID] = s.Catalogue.Entries[i].Objective.Success
	}
	return m
}
