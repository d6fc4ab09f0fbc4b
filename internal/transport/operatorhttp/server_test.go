package operatorhttp_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/rcrowley/go-metrics"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/operator"
	"github.com/lavenderridge/lavenderridge/internal/transport/operatorhttp"
)

// TestServer runs testdata/server against a server with fixed data.
func TestServer(t *testing.T) {
	kratoslog.SetLogger(kratoslog.NewStdLogger(io.Discard))
	u := startServer(t)
	datadriven.RunTest(t, "testdata/server", func(t *testing.T, x *datadriven.TestData) string {
		f := strings.Fields(x.Input)
		r, e := http.NewRequestWithContext(context.Background(), f[0], u+f[1], strings.NewReader(strings.Join(f[2:], " ")))
		if e != nil {
			t.Fatal(e)
		}
		p, e := http.DefaultClient.Do(r)
		if e != nil {
			t.Fatal(e)
		}
		defer func() { _ = p.Body.Close() }()
		b, e := io.ReadAll(p.Body)
		if e != nil {
			t.Fatal(e)
		}
		return fmt.Sprintf("%d %s\n%s", p.StatusCode, p.Header.Get("Content-Type"), b)
	})
}

func startServer(t *testing.T) string {
	t.Helper()
	l, e := net.Listen("tcp", "127.0.0.1:0")
	if e != nil {
		t.Fatal(e)
	}
	s := operatorhttp.NewServer(l, fixedStatus,
		operatorhttp.WithMetrics(fixedMetrics()),
		operatorhttp.WithDecisions(fixedDecisions),
		operatorhttp.WithBurn(func() operatorhttp.BurnCounts {
			return operatorhttp.BurnCounts{Instance: "roster-1", DataCentre: "fukuoka", Time: time.Unix(0, 0).UTC(), Rows: []operator.Row{{Entry: "roster", DataCentre: "fukuoka", Success: 0.999}}}
		}),
	)
	c, f := context.WithCancel(context.Background())
	d := make(chan error, 1)
	go func() { d <- s.Run(c) }()
	t.Cleanup(func() {
		f()
		if e := <-d; e != nil {
			t.Error(e)
		}
	})
	return "http://" + l.Addr().String()
}

func fixedStatus() operatorhttp.Status {
	return operatorhttp.Status{Instance: "roster-1", DataCentre: "fukuoka", Service: "roster", Ready: true, Leaving: true, StartedAt: time.Unix(0, 0).UTC()}
}

func fixedMetrics() metrics.Registry {
	r := metrics.NewRegistry()
	metrics.NewRegisteredCounter("Requests{Good=true}", r).Inc(3)
	metrics.NewRegisteredCounter("Requests{Good=false}", r).Inc(1)
	metrics.NewRegisteredGauge("HeapBytes", r).Update(5)
	metrics.NewRegisteredGauge("PeerTLSRefused", r).Update(6)
	metrics.NewRegisteredGaugeFloat64("RetryTokens{Service=roster}", r).Update(0.5)
	h := metrics.NewRegisteredHistogram("RequestLatencyMicroseconds", r, metrics.NewUniformSample(10))
	h.Update(100)
	h.Update(200)
	return r
}

func fixedDecisions(q operatorhttp.DecisionQuery) []lavenderridge.Decision {
	a := []lavenderridge.Decision{}
	for i, v := range []string{"VersionAccepted", "TargetRefused", "VersionAccepted"} {
		d := lavenderridge.Decision{Time: time.Unix(int64(i), 0).UTC(), Event: v, Subject: fmt.Sprintf("subject-%d", i)}
		if q.Match(&d) && len(a) < q.Limit {
			a = append(a, d)
		}
	}
	return a
}
