package configservice

import (
	"fmt"
	"strconv"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// versionsPerRevision is the number of list versions for each revision. The
	// exact list of the revision r has the version 2r; the list that still
	// contains lapsed instances has the version 2r-1.
	versionsPerRevision = 2
	// eraShift is the number of bits of a list version below the era. They suffice
	// for 2,000 revisions a second over 130 years.
	eraShift = 44
	// maxListEra is the highest era that a list version can contain.
	maxListEra lavenderridge.Era = 1<<(64-eraShift) - 1
)

// listVersion returns the version of the instance list of the revision r in the era e.
// Versions are ordered by the era first.
func listVersion(e lavenderridge.Era, r lavenderridge.Revision) lavenderridge.Version {
	return lavenderridge.Version(min(e, maxListEra))<<eraShift + lavenderridge.Version(r)*versionsPerRevision
}

// ListEra returns the era in the version v of an instance list that was built from the
// facts of a source, or zero.
func ListEra(v lavenderridge.Version) lavenderridge.Era {
	return lavenderridge.Era(v >> eraShift)
}

// ListNumber returns the version v of an instance list without its era.
func ListNumber(v lavenderridge.Version) lavenderridge.Version {
	return v & (1<<eraShift - 1)
}

// isExact reports whether the list with the version v contains no lapsed instances.
func isExact(v lavenderridge.Version) bool {
	return v%versionsPerRevision == 0
}

// listRevision returns the revision of the source that the list with the version v
// includes.
func listRevision(v lavenderridge.Version) lavenderridge.Revision {
	return lavenderridge.Revision((ListNumber(v) + versionsPerRevision - 1) / versionsPerRevision)
}

// FormatListVersion returns the version v of an instance list as text, with the era, if
// there is one, before a colon.
func FormatListVersion(v lavenderridge.Version) string {
	if e := ListEra(v); e > 0 {
		return fmt.Sprintf("%d:%d", e, ListNumber(v))
	}
	return strconv.FormatUint(uint64(v), 10)
}
