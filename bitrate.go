package lavenderridge

// A BitRate is a number of bits per second.
type BitRate int64
