package lavenderridge

// A ServiceID identifies a service, a group of interchangeable backend servers.
type ServiceID string
