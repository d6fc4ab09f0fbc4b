package lavenderridge

// A PublishedCatalogue is a catalogue with the version that operators assigned to
// it.
type PublishedCatalogue struct {
	Version   Version
	Catalogue *Catalogue
}
