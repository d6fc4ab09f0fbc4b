package lavenderridge

// An Attempt is the number of an attempt that one daemon makes to run a request,
// counted from one, or a number of such attempts.
type Attempt uint16
