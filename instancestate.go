package lavenderridge

// An InstanceState is the platform's word on an instance.
type InstanceState string

// The states that the instance list may give.
const (
	InstanceLive    InstanceState = "Live"
	InstanceLeaving InstanceState = "Leaving"
)
