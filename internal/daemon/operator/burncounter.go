package operator

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
)

// maxSeries bounds the number of pairs of entry and data centre that are counted.
// One pair uses up to 12 KiB.
const maxSeries = 1024

// A BurnCounter is an observer that counts good and bad requests for each pair of
// entry and data centre. Error budget burn rates are computed from these counts.
type BurnCounter struct {
	series  *copyOnWriteMap[seriesKey, *operator.Series]
	dropped atomic.Uint64
}

var _ lavenderridge.Observer = (*BurnCounter)(nil)

// seriesKey identifies the series of one pair of entry and data centre.
type seriesKey struct {
	entry      lavenderridge.EntryID
	dataCentre lavenderridge.DataCentreID
}

// NewBurnCounter returns a burn counter that has counted no requests.
func NewBurnCounter() *BurnCounter {
	return &BurnCounter{series: newCopyOnWriteMap(maxSeries, func(seriesKey) *operator.Series { return &operator.Series{} })}
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

// Dropped returns the number of requests that were not counted because their
// pair of entry and data centre was new and maxSeries pairs were already counted.
func (b *BurnCounter) Dropped() uint64 {
	return b.dropped.Load()
}

// Rows returns the counts of the windows that end at the time t, sorted by entry
// and data centre, with the objectives of the snapshot s. The objectives are zero
// if s is nil.
func (b *BurnCounter) Rows(s *lavenderridge.Snapshot, t time.Time) []operator.Row {
	m := successObjectives(s)
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

// successObjectives returns the fraction of requests of each entry that must be
// good.
func successObjectives(s *lavenderridge.Snapshot) map[lavenderridge.EntryID]lavenderridge.Ratio {
	m := map[lavenderridge.EntryID]lavenderridge.Ratio{}
	if s == nil {
		return m
	}
	for i := range s.Catalogue.Entries {
		m[s.Catalogue.Entries[i].ID] = s.Catalogue.Entries[i].Objective.Success
	}
	return m
}
