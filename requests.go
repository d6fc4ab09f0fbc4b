package lavenderridge

// Requests is a number of requests.
type Requests int64
