package lavenderridge

// A FactKey identifies one fact of a FactSource.
type FactKey string
