package lavenderridge

// A Sender identifies the daemon, and its run, that sent a message, and holds
// the stamps of its accepted documents. Every message between daemons
// contains a Sender.
type Sender struct {
	Instance    InstanceID
	DataCentre  DataCentreID
	Incarnation Incarnation
	Stamps      Stamps
}
