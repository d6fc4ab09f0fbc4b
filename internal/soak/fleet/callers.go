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
)

const (
	readPath  = "read"
	writePath = "write"
	// callers is the number of callers; each keeps its connection open.
	callers     = 24
	callPause   = 20 * time.Millisecond
	callTimeout = 4 * time.Second
	// longShare is the part of requests that take longTime, to be running when a
	// fault strikes.
	longShare  = 0.3
	longTime   = "250ms"
	maxResends = 4
	lookPeriod = 100 * time.Millisecond
	probesEach = 10
)

// once hides the kind of its reader from the HTTP library, which would else send
// some requests a second time.
type once struct{ io.ReadCloser }

// call sends requests to one daemon after the other until c ends.
func (f *Fleet) call(c context.Context, i int) error {
	r := rand.New(rand.NewPCG(f.plan.Seed, uint64(i)))
	h := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableCompression: true}}
	defer h.CloseIdleConnections()
	p := f.processes[i%len(f.processes)]
	for c.Err() == nil {
		switch r.IntN(3) {
		case 0:
			f.note(f.send(c, h, p, http.MethodGet, readPath, ""))
		case 1:
			f.note(f.send(c, h, p, http.MethodPost, writePath, ""))
		default:
			f.callKeyed(c, r, h, p)
		}
		if lavenderridge.Sleep(c, time.Duration(r.Int64N(int64(2*callPause)))) != nil {
			break
		}
	}
	return nil
}

// callKeyed sends a request with a key, again at other daemons until it is
// answered.
func (f *Fleet) callKeyed(c context.Context, r *rand.Rand, h *http.Client, p *process) {
	u, e := uuid.NewV7()
	if e != nil {
		return
	}
	for range maxResends {
		s := f.send(c, h, p, http.MethodPost, writePath, lavenderridge.IdempotencyKey(u.String()))
		f.note(s)
		if s.Result == judge.Answered || lavenderridge.Sleep(c, callPause) != nil {
			return
		}
		p = f.processes[r.IntN(len(f.processes))]
	}
}

func (f *Fleet) note(s judge.Send) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.evidence.Sends = append(f.evidence.Sends, s)
}

// send makes one request at the daemon p. It is not broken off when c ends.
func (f *Fleet) send(c context.Context, h *http.Client, p *process, m, t string, k lavenderridge.IdempotencyKey) judge.Send {
	s := judge.Send{
		ID: lavenderridge.RequestID(uuid.NewString()), Key: k, Safe: t == readPath,
		Daemon: p.instance.ID, Begun: time.Now(), Result: judge.Unsent,
	}
	q, e := http.NewRequestWithContext(context.WithoutCancel(c), m, "http://"+string(p.caller)+"/"+t, once{http.NoBody})
	if e != nil {
		return s
	}
	q.Header.Set(callerhttp.RequestIDHeader, string(s.ID))
	if k != "" {
		q.Header.Set(callerhttp.IdempotencyKeyHeader, string(k))
	}
	if rand.Float64() < longShare {
		q.Header.Set(durationHeader, longTime)
	}
	a, e := h.Do(q)
	s.Result = result(a, e)
	s.Ended = time.Now()
	return s
}

// result reads the answer a to its end.
func result(a *http.Response, e error) judge.Result {
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

// look notes the versions of all daemons until c ends.
func (f *Fleet) look(c context.Context) error {
	for lavenderridge.Sleep(c, lookPeriod) == nil {
		for _, p := range f.processes {
			x, n := context.WithTimeout(c, lookPeriod)
			s, e := status(x, p)
			n()
			if e != nil {
				continue
			}
			f.mutex.Lock()
			f.evidence.Sights = append(f.evidence.Sights, judge.Sight{Instance: p.instance.ID, Incarnation: s.Incarnation, Time: time.Now(), Versions: s.Versions})
			f.mutex.Unlock()
		}
	}
	return nil
}
