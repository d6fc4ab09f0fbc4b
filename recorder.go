package lavenderridge

// A Recorder keeps recent decisions. Record does not block.
type Recorder interface {
	Record(d Decision)
}
