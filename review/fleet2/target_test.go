//go:build review

package fleet2

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	targetSlots = 9
	targetQueue = 36
	healthPath  = "/health"
	// targetIdle is after how long a target closes an idle connection.
	targetIdle = 10 * time.Second
	heartbeat  = 1500 * time.Millisecond
	coldStart  = 3 * time.Second
	coldPerS   = 15.0
)

// arrival is a request that reached a target and was not refused with status 421.
type arrival struct {
	at      time.Time
	target  string
	service string
	id      string
	path    string
	caller  string
}

// target is a stand-in for an application target.
type target struct {
	fleet   *fleet
	machine *machine
	service string
	work    time.Duration
	body    []byte
	// crashAbove is the number of requests in a second above which the target crashes
	// while it is cold; zero stands for never.
	crashAbove int

	mutex     sync.Mutex
	id        string
	born      time.Time
	coldUntil time.Time
	coldHits  []time.Time
	server    *http.Server
	slots     chan struct{}
	queued    int
	crashes   int
}

// start begins an incarnation of the target that is cold for d.
func (t *target) start(d time.Duration) error {
	l, err := net.Listen("tcp", t.machine.app())
	if err != nil {
		return err
	}
	t.mutex.Lock()
	t.id = t.fleet.newID()
	t.born = time.Now()
	t.coldUntil, t.coldHits = t.born.Add(d), nil
	t.slots = make(chan struct{}, targetSlots)
	t.server = &http.Server{Handler: t, IdleTimeout: targetIdle}
	server := t.server
	t.mutex.Unlock()
	go func() { _ = server.Serve(l) }()
	t.register("ready")
	return nil
}

// register writes the entry of the target and returns when that was acknowledged.
func (t *target) register(state string) time.Time {
	t.mutex.Lock()
	key, v := "servers/"+t.id, map[string]any{
		"service": t.service, "address": t.machine.app(), "zone": t.machine.zone, "version": "v1",
		"slots": targetSlots, "state": state, "sequence": time.Since(t.born) / heartbeat,
		"coldLeft": fmt.Sprintf("%dms", max(0, time.Until(t.coldUntil).Milliseconds())), "born": t.born.UnixMilli(),
	}
	t.mutex.Unlock()
	return t.fleet.store.put(key, v)
}

// unregister removes the entry of the target.
func (t *target) unregister() time.Time {
	t.mutex.Lock()
	key := "servers/" + t.id
	t.mutex.Unlock()
	return t.fleet.store.remove(key)
}

// turnCold makes the target cold for d from now on. Its entry follows after the time w.
func (t *target) turnCold(d, w time.Duration) {
	t.mutex.Lock()
	t.coldUntil, t.coldHits = time.Now().Add(d), nil
	t.mutex.Unlock()
	time.AfterFunc(w, func() { t.register("ready") })
}

// stop ends the incarnation and resets its connections.
func (t *target) stop() {
	t.mutex.Lock()
	server := t.server
	t.mutex.Unlock()
	_ = server.Close()
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	t.mutex.Lock()
	id, cold, slots := t.id, t.coldUntil.Sub(now), t.slots
	t.mutex.Unlock()
	h := w.Header()
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == healthPath {
		h.Set("Instance-Id", id)
		h.Set("Cold-Ms", strconv.FormatInt(max(0, cold.Milliseconds()), 10))
		return
	}
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	if x := r.Header.Get("Expect-Instance"); x != "" && x != id {
		h.Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.fleet.arrived(arrival{at: now, target: id, service: t.service, id: r.Header.Get("Request-Id"), path: r.URL.Path, caller: r.Header.Get("Caller-Service")})
	if cold > 0 && t.hitCold(now) {
		t.crash()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if !t.enter(r.Context(), slots) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-slots }()
	t.fleet.ran(r.Header.Get("Request-Id"))
	d := t.work
	if cold > 0 {
		d *= 2
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		return
	}
	h.Set("Server-Seal", "seal."+id+"."+r.Header.Get("Request-Id"))
	h.Set("Content-Length", strconv.Itoa(len(t.body)))
	_, _ = w.Write(t.body)
}

// enter waits for a slot and reports whether there was one.
func (t *target) enter(c context.Context, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	default:
	}
	t.mutex.Lock()
	full := t.queued >= targetQueue
	if !full {
		t.queued++
	}
	t.mutex.Unlock()
	if full {
		return false
	}
	defer func() {
		t.mutex.Lock()
		t.queued--
		t.mutex.Unlock()
	}()
	select {
	case slots <- struct{}{}:
		return true
	case <-c.Done():
		return false
	}
}

// hitCold counts a request to the cold target and reports whether it crashes.
func (t *target) hitCold(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.coldHits = append(t.coldHits, now)
	n := 0
	for _, v := range t.coldHits {
		if now.Sub(v) < time.Second {
			n++
		}
	}
	return t.crashAbove > 0 && n > t.crashAbove
}

// crash ends the target and starts it again, cold, after two seconds.
func (t *target) crash() {
	t.mutex.Lock()
	server, id := t.server, t.id
	t.crashes++
	t.mutex.Unlock()
	t.fleet.note("target %s (%s) crashed", id, t.service)
	go func() {
		_ = server.Close()
		time.Sleep(2 * time.Second)
		t.unregister()
		if err := t.start(coldStart); err != nil {
			t.fleet.note("target %s did not start again: %v", id, err)
		}
	}()
}
