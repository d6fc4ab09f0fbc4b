package lavenderridge

// An InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states in the instance list. Only a live instance is given new work.
const (
	InstanceLive    InstanceState = "Live"
	InstanceLeaving InstanceState = "Leaving"
)
