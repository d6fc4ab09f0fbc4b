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

// worker sends one request at a time and counts for itself.
type worker struct {
	generator *Generator
	start     time.Time
	bins      []*bin
	resent    int
	differing int
}

// answer is what became of one send.
type answer struct {
	status  int
	outcome string
	reason  string
	body    []byte
	failed  bool
}

func newWorker(g *Generator, t time.Time) *worker {
	return &worker{generator: g, start: t}
}

func (w *worker) run(c context.Context, q <-chan due) {
	for d := range q {
		if c.Err() != nil {
			return
		}
		w.request(c, d)
	}
}

func (w *worker) request(c context.Context, d due) {
	s, r := w.generator.choose(d.number)
	k := ""
	if s.Keyed {
		k = uuid.Must(uuid.NewV7()).String()
	}
	a := w.send(c, s, k, w.generator.target(d.number))
	w.count(d, a, time.Since(w.start)-d.offset)
	if s.Keyed && w.resends(r) {
		b := w.send(c, s, k, w.generator.target(d.number+1))
		w.resent++
		if a.answered() && b.answered() && !bytes.Equal(a.body, b.body) {
			w.differing++
		}
	}
}

func (w *worker) resends(r *rand.Rand) bool {
	return lavenderridge.Ratio(r.Float64()) < w.generator.plan.Resends
}

func (w *worker) send(c context.Context, s Share, k string, t lavenderridge.Address) answer {
	c, f := context.WithTimeout(c, w.generator.plan.Timeout)
	defer f()
	m := http.MethodGet
	if s.Keyed {
		m = http.MethodPost
	}
	q, e := http.NewRequestWithContext(c, m, fmt.Sprintf("http://%s%s", t, s.Path), http.NoBody)
	if e != nil {
		return answer{failed: true}
	}
	q.Header.Set(callerhttp.TimeoutHeader, strconv.FormatInt(w.generator.plan.Timeout.Milliseconds(), 10))
	if k != "" {
		q.Header.Set(callerhttp.IdempotencyKeyHeader, k)
	}
	p, e := w.generator.client.Do(q)
	if e != nil {
		return answer{failed: true}
	}
	defer func() { _ = p.Body.Close() }()
	b, e := io.ReadAll(p.Body)
	return answer{
		status: p.StatusCode, body: b, failed: e != nil,
		outcome: p.Header.Get(callerhttp.OutcomeHeader), reason: p.Header.Get(callerhttp.ReasonHeader),
	}
}

func (a *answer) answered() bool {
	return !a.failed && a.outcome == "" && a.status < http.StatusInternalServerError
}

func (w *worker) count(d due, a answer, l time.Duration) {
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
		n.reason(a.reason, 1)
	case a.outcome != "":
		n.Unknown++
		n.reason(a.reason, 1)
	case a.status >= http.StatusInternalServerError:
		n.ServerErrors++
	default:
		n.Answered++
	}
}
