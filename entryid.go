package lavenderridge

// An EntryID names one entry of the catalogue.
type EntryID string
