package lavenderridge

import "fmt"

// A Finding is one fault in a settings file, a key file, a document or a fact,
// or one violation that a soak test has found.
type Finding struct {
	// Place is a key path, with file and line where they are known.
	Place   string
	Message string
}

// String returns the place and the message.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s", f.Place, f.Message)
}
