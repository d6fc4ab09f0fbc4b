package lavenderridge

// A Version is the number of one version of a document. The source assigns it
// in increasing order; zero means that no version is known.
type Version uint64
