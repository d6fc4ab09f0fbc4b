package lavenderridge

// An InstanceOverride is the operators' setting for one instance. An instance
// that it puts out of service gets no new work even if the platform lists it.
type InstanceOverride struct {
	ID    InstanceID
	State ServiceState
}
