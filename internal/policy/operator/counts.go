package operator

// Counts holds the requests of one window that met their objective and those
// that did not.
type Counts struct {
	Good uint64
	Bad  uint64
}

// Add returns the sums of c and o.
func (c Counts) Add(o Counts) Counts {
	return Counts{Good: c.Good + o.Good, Bad: c.Bad + o.Bad}
}

// Total returns the number of requests.
func (c Counts) Total() uint64 {
	return c.Good + c.Bad
}
