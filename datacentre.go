package lavenderridge

// A DataCentre is a data centre as the catalogue describes it.
type DataCentre struct {
	ID     DataCentreID
	Region RegionID
	State  ServiceState
}
