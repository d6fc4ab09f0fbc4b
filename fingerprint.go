package lavenderridge

// A Fingerprint identifies a request by its service and key, or else by its
// method, path and body. It is a 64-bit hash.
type Fingerprint uint64
