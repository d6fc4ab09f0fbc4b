package lavenderridge

// A ServiceShare is the share of an entry's requests that goes to one service.
type ServiceShare struct {
	Service ServiceID
	// Weight is relative to the weights of the entry's other shares.
	Weight float64
}
