package lavenderridge

// A DocumentName identifies one of the two documents that daemons distribute. It
// is also its name at the configuration service.
type DocumentName string

// The documents.
const (
	// DocumentCatalogue is the operators' catalogue.
	DocumentCatalogue DocumentName = "catalogue"
	// DocumentInstanceList is the platform's list of instances.
	DocumentInstanceList DocumentName = "instances"
)
