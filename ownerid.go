package lavenderridge

// An OwnerID names the people who answer for a catalogue entry.
type OwnerID string
