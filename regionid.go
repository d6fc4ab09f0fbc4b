package lavenderridge

// A RegionID names a group of data centres that share one network.
type RegionID string
