package configservice

// An Epoch counts how often a gate has been closed.
type Epoch uint64
