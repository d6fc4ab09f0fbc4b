package lavenderridge

// A BackendID identifies one run of a backend server: it differs after a restart
// at the same address. It is empty if the platform does not identify runs.
type BackendID string
