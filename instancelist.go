package lavenderridge

// An InstanceList is the platform's list of live and leaving instances. It
// lags behind what happens. Instances are sorted by ID.
type InstanceList struct {
	Instances []Instance
	// Evacuated lists the data centres that get no new work, sorted.
	Evacuated []DataCentreID
}
