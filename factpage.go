package lavenderridge

// A FactPage is one page of a listing of a FactSource, or a batch of changes
// from a watch.
type FactPage struct {
	Facts []Fact
	// More is true if the listing continues after the last fact of the page.
	More bool
	// AsOf is the revision of the source that the page reflects.
	AsOf Revision
	// Era is the era of the source in which the page was read.
	Era Era
	// Superseded is the number of catalogues that a batch of changes leaves out,
	// because it contains a later one.
	Superseded int
	// Size is the size of the response, or zero if the source does not know it.
	Size ByteCount
}
