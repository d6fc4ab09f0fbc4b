package lavenderridge

// An EntryID identifies one entry of the catalogue.
type EntryID string
