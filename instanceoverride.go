package lavenderridge

// An InstanceOverride is the operators' word on one instance, over that of the
// platform's list.
type InstanceOverride struct {
	ID    InstanceID
	State ServiceState
}
