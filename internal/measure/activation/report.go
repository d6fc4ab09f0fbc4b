package activation

import (
	"fmt"
	"io"
	"time"
)

// A Report tells what was measured. Requests and bytes are those of one daemon;
// bytes are questions and replies, without the headers of the transport.
type Report struct {
	// Start is the time from the start of all daemons until all are active.
	Start time.Duration
	// RestRequests and RestBytes are those in a second at rest.
	RestRequests, RestBytes float64
	// ForeignRequests are those after a version that leaves the service alone,
	// beyond the ones at rest.
	ForeignRequests float64
	// Move is the time from publishing that a data centre is out of service
	// until all homes are active.
	Move time.Duration
	// MoveRequests and MoveBytes are those for that change.
	MoveRequests, MoveBytes float64
	// Silent is the time for which moved keys were refused while a listed
	// instance did not answer, and Dropped the part of it after the list had
	// dropped the instance.
	Silent, Dropped time.Duration
}

// WriteTable writes the report as text.
func (r *Report) WriteTable(w io.Writer) error {
	_, e := fmt.Fprintf(w, `start to active                      %s
at rest, a daemon in a second        %.2f requests, %.0f B
version that leaves the service be   %.2f requests more
data centre out, published to active %s
  a daemon                           %.1f requests, %.0f B
listed instance does not answer      moved keys refused for %s
  after the list has dropped it      %s
`, r.Start.Round(time.Millisecond), r.RestRequests, r.RestBytes, r.ForeignRequests, r.Move.Round(time.Millisecond),
		r.MoveRequests, r.MoveBytes, r.Silent.Round(time.Millisecond), r.Dropped.Round(time.Millisecond))
	return e
}
