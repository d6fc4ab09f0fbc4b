package caller

// A Share is one kind of request in a load's mix.
type Share struct {
	// Path is where the request goes.
	Path string
	// Weight is the request's part of the mix, relative to the other shares.
	Weight int
	// Keyed makes the request a POST with an Idempotency-Key.
	Keyed bool
}
