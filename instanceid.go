package lavenderridge

// An InstanceID identifies one backend server instance and the daemon beside it.
type InstanceID string
