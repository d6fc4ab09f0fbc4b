package lavenderridge

// A Service describes what each of its backend servers bears.
type Service struct {
	ID ServiceID
	// Slots bounds the requests that one backend server runs at once.
	Slots Slots
	// Connections bounds the open connections to one backend server.
	Connections Connections
	// Queue bounds the requests that wait for a slot.
	Queue Slots
}
