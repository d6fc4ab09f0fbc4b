package lavenderridge

// A Response is a backend server's complete response to one attempt of a request.
type Response struct {
	ID      RequestID
	Attempt Attempt
	Status  int
	Header  Header
	Body    []byte
	// Load is the load of the target when it responded.
	Load Load
	// Sender is the daemon that ran the request.
	Sender Sender
	// Limited is the notice of another backend server that had no room for the request;
	// nil if there was none. It is not passed on to other daemons.
	Limited *HeardNotice
}
