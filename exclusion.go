package lavenderridge

// An Exclusion restricts to which instances the next attempt of a request is sent.
type Exclusion struct {
	// Instances have refused earlier attempts. The next one is sent to them only if no
	// other instance is eligible.
	Instances []InstanceID
	// Refusing excludes the instances that have recently refused or failed any
	// request, without that exception for Instances.
	Refusing bool
}
