package lavenderridge

import "fmt"

// A Finding is one error in a settings file, a catalogue or an instance list.
type Finding struct {
	// Place is a key path, with file and line where they are known.
	Place   string
	Message string
}

// String returns the place and the message.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s", f.Place, f.Message)
}
