package lavenderridge

// An Observer receives the observation of each request. Observe does not block.
type Observer interface {
	Observe(o Observation)
}
