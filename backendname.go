package lavenderridge

// A BackendName is the name under which a backend server registers. A later run may
// have the same name.
type BackendName string
