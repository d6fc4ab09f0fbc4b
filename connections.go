package lavenderridge

// Connections counts open connections to a backend server.
type Connections int
