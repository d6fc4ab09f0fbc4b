package lavenderridge

// A FactPage is a part of the facts of a FactSource, or changes of them.
type FactPage struct {
	Facts []Fact
	// More tells that a listing goes on after the last fact of the page.
	More bool
	// AsOf is the revision that the page tells of.
	AsOf Revision
}
