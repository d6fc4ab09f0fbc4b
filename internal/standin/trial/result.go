package trial

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/lavenderridge/lavenderridge/internal/load/caller"
)

// A Result holds the steps of a trial and the report of its load.
type Result struct {
	Steps []Step
	Load  *caller.Report
}

// Err returns an error with the number of steps in which a guarantee was violated,
// or nil if there is none.
func (r *Result) Err() error {
	n := 0
	for _, s := range r.Steps {
		if s.Broken != "" {
			n++
		}
	}
	if n > 0 {
		return fmt.Errorf("trial: %d of %d steps violated a guarantee", n, len(r.Steps))
	}
	return nil
}

// WriteTable writes the steps as a table for people.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, s := range r.Steps {
		v := "kept"
		if s.Broken != "" {
			v = "BROKEN: " + s.Broken
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\n", s.Name, s.Seen, v)
	}
	return t.Flush()
}
