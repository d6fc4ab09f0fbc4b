package lavenderridge

// A FactKey names one fact of a FactSource.
type FactKey string
