package lavenderridge

// An Origin tells where a daemon got a version from: the configuration service
// or another daemon's instance.
type Origin string

// OriginSource is the platform's configuration service.
const OriginSource Origin = "source"
