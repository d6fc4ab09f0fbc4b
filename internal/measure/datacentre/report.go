package datacentre

import (
	"fmt"
	"io"

	"github.com/lavenderridge/lavenderridge/internal/load/caller"
)

// A Report is the result of one run.
type Report struct {
	// Routing is the router that the daemons used: "balanced", or "plain" for the
	// round robin that serves as a baseline.
	Routing string
	// Late counts the requests that began in the data centre more than five
	// seconds after it was taken out of service.
	Late int
	Load *caller.Report
}

// WriteTable writes the report as text, with a line for each second.
func (r *Report) WriteTable(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "routing %s: new work in the data centre 5 s after it left: %d\n", r.Routing, r.Late)
	if e := r.Load.WriteTable(w); e != nil {
		return e
	}
	return r.Load.WriteSeconds(w)
}
