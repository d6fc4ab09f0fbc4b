package lavenderridge

// An InstanceID names one backend server instance and the daemon beside it.
type InstanceID string
