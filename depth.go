package lavenderridge

// A Depth is the number of services that a request has passed through.
type Depth uint8
