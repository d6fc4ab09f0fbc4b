package lavenderridge

// A Rate counts events in a second.
type Rate float64
