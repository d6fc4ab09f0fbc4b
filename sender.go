package lavenderridge

// A Sender tells which run of which daemon sent a message, and the versions
// that it had in force. Every message between daemons carries one.
type Sender struct {
	Instance    InstanceID
	DataCentre  DataCentreID
	Incarnation Incarnation
	Stamps      Stamps
}
