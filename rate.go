package lavenderridge

// A Rate is a number of events per second.
type Rate float64
