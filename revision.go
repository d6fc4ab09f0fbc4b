package lavenderridge

// A Revision counts the changes of a FactSource, from one.
type Revision uint64
