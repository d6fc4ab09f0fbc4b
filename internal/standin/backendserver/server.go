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

// Headers by which a request tells the stand-in what to do.
const (
	// CrashHeader makes the request crash the stand-in.
	CrashHeader = "X-Standin-Crash"
	// DurationHeader sets how long the request takes, as in "150ms".
	DurationHeader = "X-Standin-Duration"
	keyHeader      = "Idempotency-Key"
)

const (
	maxBody            = 8 << 20
	defaultRestartTime = 300 * time.Millisecond
	crashDelay         = 2 * time.Millisecond
	healthPath         = "/healthz"
)

// A Server answers each request after a set time and records its run. It sheds
// requests above its slots, starts cold, drains, crashes and restarts.
type Server struct {
	instance     lavenderridge.InstanceID
	slots        lavenderridge.Slots
	service      time.Duration
	coldSlots    lavenderridge.Slots
	coldTime     time.Duration
	coldFailure  Failure
	swift        lavenderridge.Slots
	slowdown     time.Duration
	restartTime  time.Duration
	healthLag    time.Duration
	healthAnswer atomic.Pointer[lavenderridge.Health]

	mutex    sync.Mutex
	boot     *boot
	boots    int
	draining bool
	closed   bool
	peak     lavenderridge.Slots
	shed     int
	runs     []*Run
	past     []pastHealth
	address  string
	open     int
	peakOpen int
}

// boot is one time from a start to a crash.
type boot struct {
	number   int
	began    time.Time
	inFlight lavenderridge.Slots
	context  context.Context
	crash    context.CancelFunc
	http     *http.Server
}

type pastHealth struct {
	time   time.Time
	health lavenderridge.Health
}

var _ http.Handler = (*Server)(nil)

// NewServer returns a server of the instance i with n slots whose requests
// each take the time d. It answers by ServeHTTP, or at an address of its own
// after Start.
func NewServer(i lavenderridge.InstanceID, n lavenderridge.Slots, d time.Duration, o ...Option) *Server {
	s := &Server{instance: i, slots: n, service: d, restartTime: defaultRestartTime, address: "127.0.0.1:0"}
	for _, f := range o {
		f(s)
	}
	s.begin()
	return s
}

// begin makes a new boot.
func (s *Server) begin() {
	s.boots++
	c, f := context.WithCancel(context.Background())
	s.boot = &boot{number: s.boots, began: time.Now(), context: c, crash: f}
}

// Start listens, at the same address after each crash.
func (s *Server) Start() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l, e := net.Listen("tcp", s.address)
	if e != nil {
		return fmt.Errorf("backendserver: %w", e)
	}
	s.address = l.Addr().String()
	if s.boot.context.Err() != nil {
		s.begin()
	}
	h := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ConnState: s.count}
	s.boot.http = h
	go func() { _ = h.Serve(l) }()
	return nil
}

func (s *Server) count(_ net.Conn, v http.ConnState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch v {
	case http.StateNew:
		s.open++
		s.peakOpen = max(s.peakOpen, s.open)
	case http.StateClosed, http.StateHijacked:
		s.open--
	}
}

// Address returns where the server listens after Start.
func (s *Server) Address() lavenderridge.Address {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return lavenderridge.Address(s.address)
}

// Crash ends all runs and connections without an answer.
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
	return s.startAgain()
}

// startAgain starts the server unless it was closed or started meanwhile.
func (s *Server) startAgain() error {
	s.mutex.Lock()
	o := s.closed || s.boot.context.Err() == nil
	s.mutex.Unlock()
	if o {
		return nil
	}
	return s.Start()
}

// Close ends the server for good.
func (s *Server) Close() {
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	s.Crash()
}

// Drain makes the server refuse new requests and its health endpoint say that
// it is not ready, or stop doing so.
func (s *Server) Drain(d bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = d
}

// Runs returns how often each request has run.
func (s *Server) Runs() map[lavenderridge.RequestID]int {
	m := make(map[lavenderridge.RequestID]int)
	for _, r := range s.Record() {
		m[r.Request]++
	}
	return m
}

// Record returns all runs in the order in which they began.
func (s *Server) Record() []Run {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := make([]Run, len(s.runs))
	for i, r := range s.runs {
		a[i] = *r
	}
	return a
}

// Peak returns the greatest number of requests that ran at once.
func (s *Server) Peak() lavenderridge.Slots {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.peak
}

// PeakConnections returns the greatest number of connections open at once.
func (s *Server) PeakConnections() lavenderridge.Connections {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return lavenderridge.Connections(s.peakOpen)
}

// Shed returns the number of requests that were refused.
func (s *Server) Shed() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.shed
}

// Boots returns the number of starts.
func (s *Server) Boots() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.boots
}

// ServeHTTP answers the health endpoint and every other path.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == healthPath {
		s.health(w)
		return
	}
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, q.Body, maxBody))
	b, r, f := s.enter(q)
	if r == nil {
		s.fail(w, q, b, f)
		return
	}
	c, n := s.deadline(q, b)
	defer n()
	x := s.work(c, q, b)
	s.leave(b, r, x)
	if b.context.Err() != nil {
		panic(http.ErrAbortHandler)
	}
	if x == RunCut {
		http.Error(w, "the deadline has passed", http.StatusGatewayTimeout)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s\n", s.instance, q.Method, q.URL.Path)
}

// enter begins a run, or returns why there is none.
func (s *Server) enter(q *http.Request) (*boot, *Run, Failure) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b, t := s.boot, time.Now()
	switch {
	case b.context.Err() != nil:
		return b, nil, FailureCrash
	case s.draining || b.inFlight >= s.slots:
		s.shed++
		return b, nil, FailureShed
	case t.Sub(b.began) < s.coldTime && b.inFlight >= s.coldSlots:
		return b, nil, s.coldFailure
	}
	r := &Run{
		Request: lavenderridge.RequestID(q.Header.Get(backendhttp.RequestIDHeader)),
		Key:     lavenderridge.IdempotencyKey(q.Header.Get(keyHeader)),
		Path:    q.URL.Path, Boot: b.number, Begun: t, Alone: b.inFlight == 0, State: RunBegun,
	}
	b.inFlight++
	s.peak = max(s.peak, b.inFlight)
	s.runs = append(s.runs, r)
	return b, r, ""
}

func (s *Server) leave(b *boot, r *Run, v RunState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b.inFlight--
	r.State, r.Ended = v, time.Now()
}

// deadline bounds a run by the client's leaving and the time it allows.
func (s *Server) deadline(q *http.Request, b *boot) (context.Context, context.CancelFunc) {
	c, f := context.WithCancel(q.Context())
	context.AfterFunc(b.context, f)
	n, e := strconv.ParseInt(q.Header.Get(backendhttp.TimeoutHeader), 10, 64)
	if e != nil {
		return c, f
	}
	return context.WithTimeout(c, time.Duration(n)*time.Millisecond)
}

// work takes the request's time and returns how the run ended.
func (s *Server) work(c context.Context, q *http.Request, b *boot) RunState {
	d := s.duration(q, b)
	if q.Header.Get(CrashHeader) != "" {
		d = crashDelay
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.Done():
		return RunCut
	}
	if q.Header.Get(CrashHeader) != "" {
		s.crashAndRestart(b)
		return RunCut
	}
	return RunFinished
}

func (s *Server) duration(q *http.Request, b *boot) time.Duration {
	if d, e := time.ParseDuration(q.Header.Get(DurationHeader)); e == nil {
		return d
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.slowdown > 0 && b.inFlight > s.swift {
		return s.service + time.Duration(b.inFlight-s.swift)*s.slowdown
	}
	return s.service
}

// fail does what f says with a request that does not run.
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

// crashAndRestart crashes the boot b, and starts the server again later.
func (s *Server) crashAndRestart(b *boot) {
	s.mutex.Lock()
	o := b.context.Err() == nil
	b.crash()
	s.mutex.Unlock()
	if !o || b.http == nil {
		return
	}
	_ = b.http.Close()
	time.AfterFunc(s.restartTime, func() { _ = s.startAgain() })
}

func (s *Server) health(w http.ResponseWriter) {
	if h := s.healthAnswer.Load(); h != nil {
		_ = json.NewEncoder(w).Encode(h)
		return
	}
	_ = json.NewEncoder(w).Encode(s.pastHealth(time.Now()))
}

// pastHealth returns the health as it was seen the lag ago.
func (s *Server) pastHealth(t time.Time) lavenderridge.Health {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h := lavenderridge.Health{Ready: !s.draining, InFlight: s.boot.inFlight, Boot: strconv.Itoa(s.boot.number)}
	s.past = append(s.past, pastHealth{time: t, health: h})
	i := slices.IndexFunc(s.past, func(p pastHealth) bool { return t.Sub(p.time) <= s.healthLag })
	s.past = s.past[max(0, i-1):]
	return s.past[0].health
}
