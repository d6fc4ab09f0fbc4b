package lavenderridge

// An Origin identifies where a daemon received a version from: OriginSource, or
// else the instance ID of another daemon.
type Origin string

// OriginSource stands for the platform: its configuration service or, with an
// Adapter, its store of published facts.
const OriginSource Origin = "source"
