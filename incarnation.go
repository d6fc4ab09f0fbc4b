package lavenderridge

// An Incarnation tells two runs of one instance's daemon apart. A later run
// has a higher incarnation.
type Incarnation uint64
