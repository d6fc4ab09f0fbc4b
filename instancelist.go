package lavenderridge

// An InstanceList is the platform's list of live and leaving instances. It
// may lag behind the actual state. Instances are sorted by ID.
type InstanceList struct {
	Instances []Instance
	// Evacuated lists the data centres that receive no new work, sorted.
	Evacuated []DataCentreID
}
