package lavenderridge

// A Fact is one item that a platform publishes. At most one of Catalogue,
// Instance and Evacuated is set; none is when the item is of no use.
type Fact struct {
	Key FactKey
	// Revision is that of the last change, and Created that of the creation.
	Revision Revision
	Created  Revision
	// Deleted tells that the item is gone.
	Deleted   bool
	Catalogue *PublishedCatalogue
	Instance  *Instance
	// Evacuated is a data centre whose instances get no new work.
	Evacuated DataCentreID
	// Findings tells why an item is of no use.
	Findings Findings
}
