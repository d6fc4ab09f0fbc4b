package lavenderridge

// Slots counts requests that a backend server runs at the same time.
type Slots int
