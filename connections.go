package lavenderridge

// Connections is a number of open connections to a backend server.
type Connections int
