package lavenderridge

// An InstanceListDelta turns one instance list into another.
type InstanceListDelta struct {
	Instances Changes[InstanceID, Instance]
	// Evacuated is the complete new list, not a difference.
	Evacuated []DataCentreID
}
