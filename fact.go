package lavenderridge

// A Fact is one item that a platform publishes. At most one of Catalogue,
// Instance and Evacuated is set; none is set if the item cannot be used.
type Fact struct {
	Key FactKey
	// Revision is the revision of the item's last change, and Created that of
	// its creation.
	Revision Revision
	Created  Revision
	// Deleted is true if the item no longer exists.
	Deleted   bool
	Catalogue *PublishedCatalogue
	Instance  *Instance
	// Evacuated is a data centre whose instances receive no new work.
	Evacuated DataCentreID
	// Findings explains why the item cannot be used.
	Findings Findings
}
