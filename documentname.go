package lavenderridge

// A DocumentName identifies one value of the configuration service.
type DocumentName string

// The documents that daemons accept and distribute.
const (
	// DocumentCatalogue is the operators' catalogue.
	DocumentCatalogue DocumentName = "catalogue"
	// DocumentInstanceList is the platform's list of instances.
	DocumentInstanceList DocumentName = "instances"
)
