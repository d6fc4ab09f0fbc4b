package lavenderridge

// A CatalogueDelta turns one catalogue into another.
type CatalogueDelta struct {
	DataCentres Changes[DataCentreID, DataCentre]
	Instances   Changes[InstanceID, InstanceOverride]
	Services    Changes[ServiceID, Service]
	Entries     Changes[EntryID, Entry]
	Callers     CallerLimits
	Customers   *Changes[CustomerID, Customer] `cbor:",omitempty"`
}
