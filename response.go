package lavenderridge

// A Response is a backend server's whole answer to one attempt of a request.
type Response struct {
	ID      RequestID
	Attempt Attempt
	Status  int
	Header  Header
	Body    []byte
	// Load is what the target bore when it answered.
	Load Load
	// Sender is the daemon that ran the request.
	Sender Sender
}
