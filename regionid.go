package lavenderridge

// A RegionID identifies a group of data centres that share one network.
type RegionID string
