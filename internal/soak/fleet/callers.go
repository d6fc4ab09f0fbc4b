package fleet

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/soak/judge"
	"github.com/lavenderridge/lavenderridge/internal/transport/callerhttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/plainhttp"
)

const (
	readPath  = "read"
	writePath = "write"
	// callerCount is the number of concurrent callers; each keeps its connections
	// open.
	callerCount = 24
	// meanCallPause is the mean of the pause between two calls of a caller, which
	// is drawn uniformly.
	meanCallPause = 20 * time.Millisecond
	callTimeout   = 4 * time.Second
	// slowShare is the share of requests that take slowDuration, so that some are
	// running when a fault is injected.
	slowShare    = 0.3
	slowDuration = "250ms"
	// maxAttempts bounds how often a request with a key is sent until it is
	// answered.
	maxAttempts = 4
	// forgedCustomer is the customer that callers name themselves, in vain.
	forgedCustomer = "forged"
	// samplePeriod is the time between two samples of the versions, and the
	// timeout of each.
	samplePeriod    = 100 * time.Millisecond
	probesPerDaemon = 10
)

// unreplayableBody hides the type of its reader from net/http, which otherwise
// sends some requests again by itself when a connection breaks.
type unreplayableBody struct{ io.ReadCloser }

// newHTTPClient returns the HTTP client of a caller.
func newHTTPClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: plainhttp.NewTransport(&http.Transport{})}
}

// call runs the caller i until c ends. It sends one request at a time to its
// daemon: reads, writes, and writes with an idempotency key.
func (f *Fleet) call(c context.Context, i int) error {
	r := rand.New(rand.NewPCG(f.plan.Seed, uint64(i)))
	h := newHTTPClient()
	defer h.CloseIdleConnections()
	p := f.processes[i%len(f.processes)]
	for n := 0; c.Err() == nil; n++ {
		u := f.credentials(i, n)
		switch r.IntN(3) {
		case 0:
			f.recordSend(f.send(c, h, p, http.MethodGet, readPath, "", u))
		case 1:
			f.recordSend(f.send(c, h, p, http.MethodPost, writePath, "", u))
		default:
			f.callKeyed(c, r, h, p, u)
		}
		if lavenderridge.Sleep(c, time.Duration(r.Int64N(int64(2*meanCallPause)))) != nil {
			break
		}
	}
	return nil
}

// callKeyed sends a request with a new idempotency key and the credentials u to the daemon
// p, and again to randomly chosen daemons until it is answered.
func (f *Fleet) callKeyed(c context.Context, r *rand.Rand, h *http.Client, p *process, u credentials) {
	k, e := uuid.NewV7()
	if e != nil {
		return
	}
	for range maxAttempts {
		s := f.send(c, h, p, http.MethodPost, writePath, lavenderridge.IdempotencyKey(k.String()), u)
		f.recordSend(s)
		if s.Result == judge.Answered || lavenderridge.Sleep(c, meanCallPause) != nil {
			return
		}
		p = f.processes[r.IntN(len(f.processes))]
	}
}

// recordSend appends s to the history.
func (f *Fleet) recordSend(s judge.Send) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.history.Sends = append(f.history.Sends, s)
}

// send sends one request with the credentials u to the daemon p. The end of c does not
// cancel it, so that its outcome is always recorded.
func (f *Fleet) send(c context.Context, h *http.Client, p *process, m, t string, k lavenderridge.IdempotencyKey, u credentials) judge.Send {
	s := judge.Send{
		ID: lavenderridge.RequestID(uuid.NewString()), Key: k, Idempotent: t == readPath,
		Daemon: p.instance.ID, Begun: time.Now(), Result: judge.Unsent,
		Customer: u.customer, CustomerKey: u.key,
	}
	q, e := http.NewRequestWithContext(context.WithoutCancel(c), m, "http://"+string(p.caller)+"/"+t, unreplayableBody{http.NoBody})
	if e != nil {
		return s
	}
	q.Header.Set(callerhttp.RequestIDHeader, string(s.ID))
	if k != "" {
		q.Header.Set(callerhttp.IdempotencyKeyHeader, string(k))
	}
	if u.key != "" {
		q.Header.Set(callerhttp.CustomerKeyHeader, u.key)
		q.Header.Set(callerhttp.CustomerHeader, forgedCustomer)
	}
	if rand.Float64() < slowShare {
		q.Header.Set(durationHeader, slowDuration)
	}
	a, e := h.Do(q)
	s.Result = readResult(a, e)
	s.Unauthenticated = e == nil && a.StatusCode == http.StatusUnauthorized
	s.Ended = time.Now()
	return s
}

// readResult reads the body of the response a and returns the outcome of the
// request. The response a is nil if e is not.
func readResult(a *http.Response, e error) judge.Result {
	var n *net.OpError
	switch {
	case errors.As(e, &n) && n.Op == "dial":
		return judge.Unsent
	case errors.As(e, &n) && n.Timeout(), errors.Is(e, context.DeadlineExceeded):
		return judge.Unknown
	case e != nil:
		return judge.Broken
	}
	_, e = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	switch {
	case e != nil:
		return judge.Broken
	case a.StatusCode == http.StatusOK:
		return judge.Answered
	case a.Header.Get(callerhttp.OutcomeHeader) == lavenderridge.OutcomeNotRun.String():
		return judge.NotRun
	}
	return judge.Unknown
}

// sampleVersions records the versions that the daemons report until c ends, and
// omits daemons that do not respond.
func (f *Fleet) sampleVersions(c context.Context) error {
	for lavenderridge.Sleep(c, samplePeriod) == nil {
		for _, p := range f.processes {
			x, n := context.WithTimeout(c, samplePeriod)
			s, e := status(x, p)
			n()
			if e != nil {
				continue
			}
			f.mutex.Lock()
			f.history.VersionSamples = append(f.history.VersionSamples, judge.VersionSample{Instance: p.instance.ID, Incarnation: s.Incarnation, Time: time.Now(), Versions: s.Versions})
			f.mutex.Unlock()
		}
	}
	return nil
}
