package lavenderridge

// A CustomerID identifies a customer whose requests carry a key.
type CustomerID string
