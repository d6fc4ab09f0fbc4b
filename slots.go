package lavenderridge

// Slots is a number of requests that a backend server runs concurrently.
type Slots int
