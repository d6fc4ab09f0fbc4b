package caller

// A Share is one kind of request in a load's mix.
type Share struct {
	// Path is the path of the request's URL.
	Path string
	// Weight is the frequency of the request relative to the other shares.
	Weight int
	// Keyed makes the request a POST with an Idempotency-Key header. Other
	// requests are GETs without a key.
	Keyed bool
}
