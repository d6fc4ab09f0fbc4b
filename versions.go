package lavenderridge

// Versions holds the version of each document that a daemon has accepted.
type Versions struct {
	Catalogue    Version
	InstanceList Version
}

// Covers reports whether v is at least as new as o in both documents.
func (v Versions) Covers(o Versions) bool {
	return v.Catalogue >= o.Catalogue && v.InstanceList >= o.InstanceList
}

// Of returns the version of the document d.
func (v Versions) Of(d DocumentName) Version {
	if d == DocumentCatalogue {
		return v.Catalogue
	}
	return v.InstanceList
}

// With returns v with the version n of the document d.
func (v Versions) With(d DocumentName, n Version) Versions {
	if d == DocumentCatalogue {
		v.Catalogue = n
	} else {
		v.InstanceList = n
	}
	return v
}

// Max returns the newer version of each document.
func (v Versions) Max(o Versions) Versions {
	return Versions{
		Catalogue:    max(v.Catalogue, o.Catalogue),
		InstanceList: max(v.InstanceList, o.InstanceList),
	}
}

// Stamps returns stamps with these versions and zero digests.
func (v Versions) Stamps() Stamps {
	return Stamps{Catalogue: Stamp{Version: v.Catalogue}, InstanceList: Stamp{Version: v.InstanceList}}
}
