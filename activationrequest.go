package lavenderridge

// An ActivationRequest asks a listed instance of the same service to adopt the
// sender's membership version and to acknowledge it.
type ActivationRequest struct {
	Sender   Sender
	Service  ServiceID
	Versions Versions
}
