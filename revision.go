package lavenderridge

// A Revision is the number of a change of a FactSource, counted from one.
type Revision uint64
