package lavenderridge

// Changes holds what differs between two lists of items with keys. Both slices
// are sorted by key.
type Changes[K, V any] struct {
	// Changed holds the new value of each item that was added or changed.
	Changed []V
	// Removed holds the keys of the items that are gone.
	Removed []K
}
