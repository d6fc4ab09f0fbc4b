package lavenderridge

// A DataCentreID identifies one data centre.
type DataCentreID string
