package lavenderridge

// A Ratio is a part of a whole, from 0 to 1.
type Ratio float64
