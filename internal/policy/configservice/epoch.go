package configservice

// An Epoch numbers the periods that begin when a gate closes. The first begins
// at the start of the daemon.
type Epoch uint64
