package lavenderridge

// A ServiceID names a service, a group of interchangeable backend servers.
type ServiceID string
