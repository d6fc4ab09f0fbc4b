package lavenderridge

// An OwnerID identifies the people who are responsible for a catalogue entry.
type OwnerID string
