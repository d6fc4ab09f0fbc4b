package trial

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/lavenderridge/lavenderridge/internal/load/caller"
)

// A Result is what a trial has seen.
type Result struct {
	Steps []Step
	Load  *caller.Report
}

// Err returns an error that names every broken promise, or nil.
func (r *Result) Err() error {
	n := 0
	for _, s := range r.Steps {
		if s.Broken != "" {
			n++
		}
	}
	if n > 0 {
		return fmt.Errorf("trial: %d of %d steps broke a promise", n, len(r.Steps))
	}
	return nil
}

// WriteTable writes the result for people.
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
