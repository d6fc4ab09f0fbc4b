package lavenderridge

// An Observer counts observations. Observe does not block.
type Observer interface {
	Observe(o Observation)
}
