package lavenderridge

// A Ratio is a fraction without a unit. A share of a whole is between 0 and 1;
// Load.Pace may be above 1.
type Ratio float64
