package lavenderridge

// A PublishedCatalogue is a catalogue with the version that operators gave it.
type PublishedCatalogue struct {
	Version   Version
	Catalogue *Catalogue
}
