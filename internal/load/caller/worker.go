package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/callerhttp"
)

// worker sends one request at a time. It has its own counts, which are merged
// after the load.
type worker struct {
	generator *Generator
	start     time.Time
	// bins has one element for each second of the load. It is nil for seconds in
	// which no request of this worker was due.
	bins      []*bin
	resent    int
	differing int
}

// sendResult is the result of sending a request once.
type sendResult struct {
	status int
	// outcome and reason are empty unless a daemon refused the request.
	outcome string
	reason  string
	body    []byte
	// failed is set if there was no complete HTTP response.
	failed bool
}

func newWorker(g *Generator, t time.Time) *worker {
	return &worker{generator: g, start: t}
}

func (w *worker) run(c context.Context, q <-chan scheduledRequest) {
	for d := range q {
		if c.Err() != nil {
			return
		}
		w.execute(c, d)
	}
}

// execute sends the request d, and sends it again to the next target if mustResend
// reports true for it. The second send is only part of the counts resent and differing.
func (w *worker) execute(c context.Context, d scheduledRequest) {
	s, r := w.generator.chooseShare(d.number)
	k := ""
	if s.Keyed {
		k = uuid.Must(uuid.NewV7()).String()
	}
	a := w.send(c, s, k, w.generator.target(d.number))
	w.record(d, a, time.Since(w.start)-d.offset)
	if s.Keyed && w.mustResend(r) {
		b := w.send(c, s, k, w.generator.target(d.number+1))
		w.resent++
		if a.answered() && b.answered() && !bytes.Equal(a.body, b.body) {
			w.differing++
		}
	}
}

// mustResend reports whether the keyed request with the random generator r is sent
// again. It is a draw with the probability Plan.Resends.
func (w *worker) mustResend(r *rand.Rand) bool {
	return lavenderridge.Ratio(r.Float64()) < w.generator.plan.Resends
}

func (w *worker) send(c context.Context, s Share, k string, t lavenderridge.Address) sendResult {
	c, f := context.WithTimeout(c, w.generator.plan.Timeout)
	defer f()
	m := http.MethodGet
	if s.Keyed {
		m = http.MethodPost
	}
	q, e := http.NewRequestWithContext(c, m, fmt.Sprintf("http://%s%s", t, s.Path), http.NoBody)
	if e != nil {
		return sendResult{failed: true}
	}
	q.Header.Set(callerhttp.TimeoutHeader, strconv.FormatInt(w.generator.plan.Timeout.Milliseconds(), 10))
	if k != "" {
		q.Header.Set(callerhttp.IdempotencyKeyHeader, k)
	}
	p, e := w.generator.client.Do(q)
	if e != nil {
		return sendResult{failed: true}
	}
	defer func() { _ = p.Body.Close() }()
	b, e := io.ReadAll(p.Body)
	return sendResult{
		status: p.StatusCode, body: b, failed: e != nil,
		outcome: p.Header.Get(callerhttp.OutcomeHeader), reason: p.Header.Get(callerhttp.ReasonHeader),
	}
}

func (a *sendResult) answered() bool {
	return !a.failed && a.outcome == "" && a.status < http.StatusInternalServerError
}

// record adds a first send with the result a and the latency l to the bin of the
// second in which the request d was due.
func (w *worker) record(d scheduledRequest, a sendResult, l time.Duration) {
	i := int(d.offset / time.Second)
	for len(w.bins) <= i {
		w.bins = append(w.bins, nil)
	}
	if w.bins[i] == nil {
		w.bins[i] = newBin()
	}
	b := w.bins[i]
	b.record(l)
	n := &b.counts
	n.Sent++
	switch {
	case a.failed:
		n.Failed++
	case a.outcome == lavenderridge.OutcomeNotRun.String():
		n.NotRun++
		n.addReason(a.reason, 1)
	case a.outcome != "":
		n.Unknown++
		n.addReason(a.reason, 1)
	case a.status >= http.StatusInternalServerError:
		n.ServerErrors++
	default:
		n.Answered++
	}
}
