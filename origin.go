package lavenderridge

// An Origin identifies where a daemon received a version from: OriginSource, or
// else the instance ID of another daemon.
type Origin string

// OriginSource is the platform's configuration service.
const OriginSource Origin = "source"
