package lavenderridge

// A ServiceShare is the part of an entry's requests that one service gets.
type ServiceShare struct {
	Service ServiceID
	// Weight is relative to those of the entry's other shares.
	Weight float64
}
