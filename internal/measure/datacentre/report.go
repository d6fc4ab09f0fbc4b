package datacentre

import (
	"fmt"
	"io"

	"github.com/lavenderridge/lavenderridge/internal/load/caller"
)

// A Report is what callers got in one run.
type Report struct {
	// Routing names the router: "balanced" or the baseline, "plain".
	Routing string
	// Late counts the requests that began in the data centre more than five
	// seconds after operators took it out.
	Late int
	Load *caller.Report
}

// WriteTable writes the report for people, with a line for each second.
func (r *Report) WriteTable(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "routing %s: new work in the data centre 5 s after it left: %d\n", r.Routing, r.Late)
	if e := r.Load.WriteTable(w); e != nil {
		return e
	}
	return r.Load.WriteSeconds(w)
}
