package lavenderridge

// Stamps holds the stamp of each document that a daemon has accepted.
type Stamps struct {
	Catalogue    Stamp
	InstanceList Stamp
}

// Versions returns the versions without their digests.
func (s Stamps) Versions() Versions {
	return Versions{Catalogue: s.Catalogue.Version, InstanceList: s.InstanceList.Version}
}

// Of returns the stamp of the document d.
func (s Stamps) Of(d DocumentName) Stamp {
	if d == DocumentCatalogue {
		return s.Catalogue
	}
	return s.InstanceList
}
