package lavenderridge

// A ServiceState tells whether operators have a data centre or an instance in
// service.
type ServiceState string

// The states that a catalogue may give.
const (
	InService    ServiceState = "InService"
	OutOfService ServiceState = "OutOfService"
)
