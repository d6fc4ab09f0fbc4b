//go:build review

package review_test

import (
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// slots is the number of requests that a backend server runs concurrently.
const slots = 9

// idleClose is how long a backend server keeps an idle connection.
const idleClose = 10 * time.Second

// arrival is a request that a backend server has begun to run.
type arrival struct {
	id, method, target, body, caller string
	instance, service                string
	at                               time.Time
}

// backend is a stand-in for a backend server. It runs up to slots requests and rejects
// the others.
type backend struct {
	id, service string
	// work is how long each request takes.
	work   time.Duration
	record *record

	mutex    sync.Mutex
	running  int
	arrivals []arrival
	// loss is the share of the requests that have run whose answers are lost.
	loss   float64
	server *http.Server
}

func newBackend(i, v string, w time.Duration, r *record) *backend {
	return &backend{id: i, service: v, work: w, record: r}
}

func (b *backend) listen(a string) error {
	l, e := net.Listen("tcp", a)
	if e != nil {
		return e
	}
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute, IdleTimeout: idleClose}
	go func() { _ = b.server.Serve(l) }()
	return nil
}

// loseAnswers makes the backend server lose the share x of its answers: it closes the
// connection instead.
func (b *backend) loseAnswers(x float64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.loss = x
}

// runs returns the requests that have run.
func (b *backend) runs() []arrival {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]arrival(nil), b.arrivals...)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		return
	}
	d := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", d)
	if x := q.Header.Get("Expect-Instance"); x != "" && x != b.id {
		w.Header().Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if d == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v, e := io.ReadAll(q.Body)
	if e != nil {
		return
	}
	if !b.begin(q, d, v) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	o := b.finish(q)
	if o {
		b.record.line("answer lost  %s at %s", d, b.id)
		panic(http.ErrAbortHandler)
	}
	p := fmt.Sprintf("%s ran %s %s\n", b.id, q.Method, q.RequestURI)
	w.Header().Set("Server-Seal", fmt.Sprintf("%s.%d.%08x", b.id, len(p), crc32.ChecksumIEEE([]byte(p))))
	_, _ = io.WriteString(w, p)
}

// begin records the request q with the ID d and the body v if a slot is free.
func (b *backend) begin(q *http.Request, d string, v []byte) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.running >= slots {
		return false
	}
	b.running++
	a := arrival{
		id: d, method: q.Method, target: q.RequestURI, body: fmt.Sprintf("%d.%08x", len(v), crc32.ChecksumIEEE(v)),
		caller: q.Header.Get("Caller-Service"), instance: b.id, service: b.service, at: time.Now(),
	}
	b.arrivals = append(b.arrivals, a)
	b.record.line("run          %s at %s (%s), %s %s, caller %s, body %s", d, b.id, b.service, a.method, a.target, a.caller, a.body)
	return true
}

// finish works on q and reports whether its answer is lost.
func (b *backend) finish(q *http.Request) bool {
	t := time.NewTimer(b.work)
	defer t.Stop()
	select {
	case <-t.C:
	case <-q.Context().Done():
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.running--
	return rand.Float64() < b.loss
}
