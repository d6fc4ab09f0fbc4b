package lavenderridge

// An Era numbers the returns of a FactSource from an older copy of itself. Revisions of
// a later era may repeat those of an earlier one. Zero means that the source states
// none.
type Era uint64
