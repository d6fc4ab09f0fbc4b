package lavenderridge

// A Catalogue is the operators' configuration. Each list is sorted by ID.
type Catalogue struct {
	DataCentres []DataCentre
	Instances   []InstanceOverride
	Services    []Service
	Entries     []Entry
	Callers     CallerLimits
}
