package lavenderridge

// A DataCentreID names one data centre.
type DataCentreID string
