package lavenderridge

// A BitRate is a number of bits a second.
type BitRate int64
