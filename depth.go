package lavenderridge

// A Depth counts the services that a request has passed through.
type Depth uint8
