package lavenderridge

// A Version counts the changes of one document. The source assigns it; zero
// means that no version is known.
type Version uint64
