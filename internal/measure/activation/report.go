package activation

import (
	"fmt"
	"io"
	"time"
)

// A Report is the result of a measurement. Requests are activation requests sent
// by the average daemon. Bytes are those of the requests and their replies, without
// the headers of the transport.
type Report struct {
	// Start is the time from the start of all daemons until all are active.
	Start time.Duration
	// RestRequests and RestBytes are the requests and bytes per second while no
	// document changes.
	RestRequests, RestBytes float64
	// ForeignRequests are the requests after a new catalogue version that does not
	// affect the homes of the service, minus those that an idle daemon sends in the
	// same time.
	ForeignRequests float64
	// Move is the time from publishing that a data centre is out of service
	// until all homes are active.
	Move time.Duration
	// MoveRequests and MoveBytes are the requests and bytes for that change.
	MoveRequests, MoveBytes float64
	// Silent is the time for which keys with a new home were refused because a
	// listed instance did not respond. Dropped is the part of it after the instance
	// was removed from the list.
	Silent, Dropped time.Duration
}

// WriteTable writes the report as text.
func (r *Report) WriteTable(w io.Writer) error {
	_, e := fmt.Fprintf(w, `start to active                      %s
at rest, per daemon and second       %.2f requests, %.0f B
unrelated catalogue change           %.2f additional requests
data centre out, published to active %s
  per daemon                         %.1f requests, %.0f B
listed instance does not respond     moved keys refused for %s
  after its removal from the list    %s
`, r.Start.Round(time.Millisecond), r.RestRequests, r.RestBytes, r.ForeignRequests, r.Move.Round(time.Millisecond),
		r.MoveRequests, r.MoveBytes, r.Silent.Round(time.Millisecond), r.Dropped.Round(time.Millisecond))
	return e
}
