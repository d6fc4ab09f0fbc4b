package lavenderridge

// A BackendID names one run of a backend server. The next run at the same
// address has another one; it is empty where the platform names no runs.
type BackendID string
