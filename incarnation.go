package lavenderridge

// An Incarnation identifies one run of an instance's daemon. A later run of the
// same instance has a higher incarnation.
type Incarnation uint64
