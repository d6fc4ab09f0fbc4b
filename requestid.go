package lavenderridge

// A RequestID identifies one caller's request through all its attempts.
type RequestID string
