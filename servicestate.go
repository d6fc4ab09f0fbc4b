package lavenderridge

// A ServiceState is the operators' setting of whether a data centre or an
// instance is in service.
type ServiceState string

// The states in a catalogue.
const (
	InService    ServiceState = "InService"
	OutOfService ServiceState = "OutOfService"
)
