package backendserver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/transport/backendhttp"
)

// Request headers that control the server.
const (
	// CrashHeader makes the server crash while it runs the request.
	CrashHeader = "X-Standin-Crash"
	// DurationHeader sets the service time of the request, such as "150ms".
	DurationHeader = "X-Standin-Duration"
	keyHeader      = "Idempotency-Key"
	// customerKeyHeader must not reach a backend server.
	customerKeyHeader = "X-Customer-Key"
)

const (
	maxBody            = 8 << 20
	defaultRestartTime = 300 * time.Millisecond
	// crashDelay is the time from the start of a request with CrashHeader to the
	// crash.
	crashDelay = 2 * time.Millisecond
	healthPath = "/healthz"
)

// A Server responds to each request after its service time and records the run.
// It sheds requests above its slots and can start cold, drain, crash and restart.
type Server struct {
	instance          lavenderridge.InstanceID
	slots             lavenderridge.Slots
	serviceTime       time.Duration
	coldSlots         lavenderridge.Slots
	coldTime          time.Duration
	coldFailure       Failure
	slowdownThreshold lavenderridge.Slots
	slowdown          time.Duration
	restartTime       time.Duration
	healthLag         time.Duration
	fixedHealth       atomic.Pointer[lavenderridge.Health]
	announcement      atomic.Pointer[announcement]

	mutex           sync.Mutex
	boot            *boot
	boots           int
	draining        bool
	closed          bool
	peakInFlight    lavenderridge.Slots
	shedCount       int
	runs            []*Run
	healthHistory   []healthSample
	address         string
	openConnections int
	peakConnections int
}

// boot is one incarnation of the server, from a start to the next crash.
type boot struct {
	number    int
	startedAt time.Time
	inFlight  lavenderridge.Slots
	context   context.Context
	crash     context.CancelFunc
	http      *http.Server
}

// announcement is what the server says about itself in all its responses.
type announcement struct {
	limit   []string
	leaving bool
}

type healthSample struct {
	time   time.Time
	health lavenderridge.Health
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a server of the instance i with n slots and the service time
// d. It is an http.Handler, and listens at its own address after Start.
func NewServer(i lavenderridge.InstanceID, n lavenderridge.Slots, d time.Duration, o ...Option) *Server {
	s := &Server{instance: i, slots: n, serviceTime: d, restartTime: defaultRestartTime, address: "127.0.0.1:0"}
	for _, f := range o {
		f(s)
	}
	s.newBoot()
	return s
}

// newBoot begins a new boot.
func (s *Server) newBoot() {
	s.boots++
	c, f := context.WithCancel(context.Background())
	s.boot = &boot{number: s.boots, startedAt: time.Now(), context: c, crash: f}
}

// Start starts to listen on a free loopback port, which later starts use again.
func (s *Server) Start() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l, e := net.Listen("tcp", s.address)
	if e != nil {
		return fmt.Errorf("backendserver: %w", e)
	}
	s.address = l.Addr().String()
	if s.boot.context.Err() != nil {
		s.newBoot()
	}
	h := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ConnState: s.countConnection}
	s.boot.http = h
	go func() { _ = h.Serve(l) }()
	return nil
}

// countConnection follows the number of open connections; it is an
// http.Server.ConnState.
func (s *Server) countConnection(_ net.Conn, v http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch v {
	case http.StateNew:
		s.openConnections++
		s.peakConnections = max(s.peakConnections, s.openConnections)
	case http.StateClosed, http.StateHijacked:
		s.openConnections--
	}
}

// Address returns the address at which the server listens after Start.
func (s *Server) Address() lavenderridge.Address {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return lavenderridge.Address(s.address)
}

// Crash aborts all runs and closes all connections without a response.
func (s *Server) Crash() {
	s.mutex.Lock()
	b := s.boot
	b.crash()
	s.mutex.Unlock()
	if b.http != nil {
		_ = b.http.Close()
	}
}

// Restart crashes the server and starts it again after the time d.
func (s *Server) Restart(d time.Duration) error {
	s.Crash()
	time.Sleep(d)
	return s.startIfDown()
}

// startIfDown starts the server after a crash, unless it was closed or has been
// started again already.
func (s *Server) startIfDown() error {
	s.mutex.Lock()
	o := s.closed || s.boot.context.Err() == nil
	s.mutex.Unlock()
	if o {
		return nil
	}
	return s.Start()
}

// Close stops the server; it does not restart.
func (s *Server) Close() {
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	s.Crash()
}

// Announce makes all responses name the limits l, any texts, and say that the server is
// leaving if g is true.
func (s *Server) Announce(g bool, l ...string) {
	s.announcement.Store(&announcement{limit: l, leaving: g})
}

// SetServiceTime sets the service time of later requests.
func (s *Server) SetServiceTime(d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.serviceTime = d
}

// Drain sets whether the server drains: it then sheds new requests and its health
// endpoint reports that it is not ready.
func (s *Server) Drain(d bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = d
}

// RunCounts returns the number of runs of each request.
func (s *Server) RunCounts() map[lavenderridge.RequestID]int {
	m := make(map[lavenderridge.RequestID]int)
	for _, r := range s.RunLog() {
		m[r.Request]++
	}
	return m
}

// RunLog returns all runs in the order in which they began.
func (s *Server) RunLog() []Run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := make([]Run, len(s.runs))
	for i, r := range s.runs {
		a[i] = *r
	}
	return a
}

// Peak returns the greatest number of requests that ran concurrently.
func (s *Server) Peak() lavenderridge.Slots {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.peakInFlight
}

// PeakConnections returns the greatest number of connections that were open
// concurrently.
func (s *Server) PeakConnections() lavenderridge.Connections {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return lavenderridge.Connections(s.peakConnections)
}

// Shed returns the number of requests that were shed because the server was
// draining or all slots were in use.
func (s *Server) Shed() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.shedCount
}

// Boots returns the number of starts of the server.
func (s *Server) Boots() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.boots
}

// ServeHTTP serves the health endpoint, and runs the request on every other path.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.writeAnnouncement(w.Header())
	if q.URL.Path == healthPath {
		s.serveHealth(w)
		return
	}
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, q.Body, maxBody))
	b, r, f := s.beginRun(q)
	if r == nil {
		s.fail(w, q, b, f)
		return
	}
	c, n := s.runContext(q, b)
	defer n()
	x := s.simulateWork(c, q, b)
	s.endRun(b, r, x)
	if b.context.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if x == RunAborted {
		http.Error(w, "the deadline has passed", http.StatusGatewayTimeout)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s\n", s.instance, q.Method, q.URL.Path)
}

// writeAnnouncement sets the header fields of the announcement.
func (s *Server) writeAnnouncement(h http.Header) {
	a := s.announcement.Load()
	if a == nil {
		return
	}
	if len(a.limit) > 0 {
		h[backendhttp.LimitHeader] = a.limit
	}
	if a.leaving {
		h.Set(backendhttp.LeavingHeader, "1")
	}
}

// beginRun records the start of a run of the request q. It returns no run, but the
// failure to respond with, if the server is down, draining or over its capacity.
func (s *Server) beginRun(q *http.Request) (*boot, *Run, Failure) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b, t := s.boot, time.Now()
	switch {
	case b.context.Err() != nil:
		return b, nil, FailureCrash
	case s.draining || b.inFlight >= s.slots:
		s.shedCount++
		return b, nil, FailureShed
	case t.Sub(b.startedAt) < s.coldTime && b.inFlight >= s.coldSlots:
		return b, nil, s.coldFailure
	}
	r := &Run{
		Request:  lavenderridge.RequestID(q.Header.Get(backendhttp.RequestIDHeader)),
		Key:      lavenderridge.IdempotencyKey(q.Header.Get(keyHeader)),
		Customer: lavenderridge.CustomerID(q.Header.Get(backendhttp.CustomerHeader)), KeyShown: q.Header.Get(customerKeyHeader) != "",
		Path: q.URL.Path, Boot: b.number, Begun: t, Exclusive: b.inFlight == 0, State: RunBegun,
	}
	b.inFlight++
	s.peakInFlight = max(s.peakInFlight, b.inFlight)
	s.runs = append(s.runs, r)
	return b, r, ""
}

// endRun records the end of the run r in the state v.
func (s *Server) endRun(b *boot, r *Run, v RunState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b.inFlight--
	r.State, r.Ended = v, time.Now()
}

// runContext returns the context of a run, which ends when the client disconnects,
// the boot b crashes or the deadline of the request passes.
func (s *Server) runContext(q *http.Request, b *boot) (context.Context, context.CancelFunc) {
	c, f := context.WithCancel(q.Context())
	context.AfterFunc(b.context, f)
	n, e := strconv.ParseInt(q.Header.Get(backendhttp.TimeoutHeader), 10, 64)
	if e != nil {
		return c, f
	}
	return context.WithTimeout(c, time.Duration(n)*time.Millisecond)
}

// simulateWork waits for the duration of the request and returns the state in
// which the run ended. It crashes the server if the request has the CrashHeader.
func (s *Server) simulateWork(c context.Context, q *http.Request, b *boot) RunState {
	d := s.duration(q, b)
	if q.Header.Get(CrashHeader) != "" {
		d = crashDelay
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.Done():
		return RunAborted
	}
	if q.Header.Get(CrashHeader) != "" {
		s.crashAndRestart(b)
		return RunAborted
	}
	return RunFinished
}

// duration returns the duration of the request q at the current load.
func (s *Server) duration(q *http.Request, b *boot) time.Duration {
	if d, e := time.ParseDuration(q.Header.Get(DurationHeader)); e == nil {
		return d
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.slowdown > 0 && b.inFlight > s.slowdownThreshold {
		return s.serviceTime + time.Duration(b.inFlight-s.slowdownThreshold)*s.slowdown
	}
	return s.serviceTime
}

// fail ends the request q, which does not run, in the way of the failure f.
func (s *Server) fail(w http.ResponseWriter, q *http.Request, b *boot, f Failure) {
	switch f {
	case FailureShed:
		http.Error(w, "shed", http.StatusServiceUnavailable)
	case FailureErrors:
		http.Error(w, "cold", http.StatusInternalServerError)
	case FailureHang:
		select {
		case <-q.Context().Done():
		case <-b.context.Done():
		}
	default:
		s.crashAndRestart(b)
		panic(http.ErrAbortHandler)
	}
}

// crashAndRestart crashes the boot b and starts the server again after its restart
// time. Only the first call for a boot has an effect.
func (s *Server) crashAndRestart(b *boot) {
	s.mutex.Lock()
	o := b.context.Err() == nil
	b.crash()
	s.mutex.Unlock()
	if !o || b.http == nil {
		return
	}
	_ = b.http.Close()
	time.AfterFunc(s.restartTime, func() { _ = s.startIfDown() })
}

func (s *Server) serveHealth(w http.ResponseWriter) {
	if h := s.fixedHealth.Load(); h != nil {
		_ = json.NewEncoder(w).Encode(h)
		return
	}
	_ = json.NewEncoder(w).Encode(s.delayedHealth(time.Now()))
}

// delayedHealth returns the health as it was healthLag before t. It only knows the
// health at the times of its calls, and returns the last one before that, or the
// oldest known.
func (s *Server) delayedHealth(t time.Time) lavenderridge.Health {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h := lavenderridge.Health{Ready: !s.draining, InFlight: s.boot.inFlight, Boot: strconv.Itoa(s.boot.number)}
	s.healthHistory = append(s.healthHistory, healthSample{time: t, health: h})
	i := slices.IndexFunc(s.healthHistory, func(p healthSample) bool { return t.Sub(p.time) <= s.healthLag })
	s.healthHistory = s.healthHistory[max(0, i-1):]
	return s.healthHistory[0].health
}
