package lavenderridge

// An Incarnation identifies one run of an instance's daemon. A later run of the
// same instance has a higher incarnation. Daemons use the time of their start in
// nanoseconds since the Unix epoch.
type Incarnation uint64
