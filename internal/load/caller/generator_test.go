package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/load/caller"
	"github.com/lavenderridge/lavenderridge/internal/transport/callerhttp"
)

// respond is a handler whose response depends on the last element of the path.
func respond(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasSuffix(r.URL.Path, "/notrun"):
		w.Header().Set(callerhttp.OutcomeHeader, "NotRun")
		w.Header().Set(callerhttp.ReasonHeader, "Overloaded")
		w.WriteHeader(http.StatusServiceUnavailable)
	case strings.HasSuffix(r.URL.Path, "/unknown"):
		w.Header().Set(callerhttp.OutcomeHeader, "Unknown")
		w.Header().Set(callerhttp.ReasonHeader, "Deadline")
		w.WriteHeader(http.StatusGatewayTimeout)
	case strings.HasSuffix(r.URL.Path, "/error"):
		w.WriteHeader(http.StatusInternalServerError)
	case strings.HasSuffix(r.URL.Path, "/cut"):
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(r.URL.Path, "/blank"):
		writeRaw(w, "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok")
	case strings.HasSuffix(r.URL.Path, "/none"):
		writeRaw(w, "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok")
	case strings.HasSuffix(r.URL.Path, "/echo"):
		_, _ = fmt.Fprint(w, r.Header.Get(callerhttp.IdempotencyKeyHeader))
	case strings.HasSuffix(r.URL.Path, "/differ"):
		_, _ = fmt.Fprint(w, time.Now().UnixNano())
	}
}

// writeRaw writes the bytes p as the response and closes the connection.
func writeRaw(w http.ResponseWriter, p string) {
	n, _, e := http.NewResponseController(w).Hijack()
	if e != nil {
		panic(e)
	}
	_, _ = io.WriteString(n, p)
	_ = n.Close()
}

// TestLoad runs the commands in testdata/load. Each command sends a load of one or
// more kinds of request, and its output is the counts of the report.
func TestLoad(t *testing.T) {
	s := httptest.NewUnstartedServer(http.HandlerFunc(respond))
	s.Config.ErrorLog = nil
	s.Start()
	defer s.Close()
	datadriven.RunTest(t, "testdata/load", func(_ *testing.T, d *datadriven.TestData) string {
		p := caller.Plan{Rate: 500, Concurrency: 4, Duration: 200 * time.Millisecond, Timeout: time.Second, Seed: 1}
		p.Targets = []lavenderridge.Address{lavenderridge.Address(strings.TrimPrefix(s.URL, "http://"))}
		for _, a := range d.CmdArgs {
			switch a.Key {
			case "read", "write":
				p.Mix = append(p.Mix, caller.Share{Path: a.Vals[0], Weight: 1, Keyed: a.Key == "write"})
			case "resends":
				p.Resends = 1
			case "rate":
				p.Rate = -1
			case "concurrency":
				p.Concurrency = 0
			case "target":
				p.Targets = nil
			}
		}
		g, e := caller.NewGenerator(context.Background(), p)
		if e != nil {
			return e.Error() + "\n"
		}
		r := g.Run(context.Background())
		n := r.Counts
		return fmt.Sprintf("sent %d answered %d errors %d notrun %d unknown %d failed %d reasons %v resent %d differing %d\n",
			n.Sent, n.Answered, n.ServerErrors, n.NotRun, n.Unknown, n.Failed, n.Reasons, r.Resent, r.Differing)
	})
}
