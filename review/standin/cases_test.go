//go:build review

package review_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Services of the deployments.
const (
	serviceBilling = "huvo11a"
	serviceRoster  = "kafi81c"
)

// settleTime is the wait between the start of the callers and the disruption. It is
// longer than the time after which a machine counts as in touch (3 s).
const settleTime = 4 * time.Second

func newConfiguration(v string, r ...route) configuration {
	return configuration{version: v, services: []string{serviceBilling, serviceRoster}, routes: r}
}

func newRoute(n, p, k, s string) route {
	return route{Name: n, PathPrefix: p, Kind: k, Timeout: "2000ms", Aim: "500ms", Priority: 1, Service: s, Attempts: 2}
}

// twoZones returns n machines in each of two zones, with the services in turn.
func twoZones(n int) [][2]string {
	var a [][2]string
	for _, z := range []string{"zone-a", "zone-b"} {
		for i := range n {
			a = append(a, [2]string{z, []string{serviceBilling, serviceRoster}[i%2]})
		}
	}
	return a
}

// replies collects what callers saw.
type replies struct {
	mutex sync.Mutex
	all   []reply
}

func (r *replies) add(p reply) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.all = append(r.all, p)
}

// statuses counts the replies by status; 0 stands for none.
func (r *replies) statuses() map[int]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	m := map[int]int{}
	for _, p := range r.all {
		m[p.status]++
	}
	return m
}

// call runs n callers at the machine m until c ends. Each sends the requests that f
// returns, with the pause w between them.
func (d *deployment) call(c context.Context, g *sync.WaitGroup, m *machine, n int, w time.Duration, v *replies, f func() *outgoing) {
	for range n {
		g.Go(func() {
			l := newCaller(m.address(outboundPort), d.record)
			defer l.close()
			for c.Err() == nil {
				v.add(l.send(f()))
				sleep(c, w)
			}
		})
	}
}

// runs returns all requests that have run, by ID.
func (d *deployment) runs() map[string][]arrival {
	r := map[string][]arrival{}
	for _, m := range d.machines {
		for _, a := range m.backend.runs() {
			r[a.id] = append(r[a.id], a)
		}
	}
	return r
}

// playLostAnswer sends non-idempotent requests without a body, with a header field of the
// callers' own, while half of the targets lose answers. Counted are requests that ran more
// than once.
func playLostAnswer(c context.Context, d *deployment, o bool) (verdict, error) {
	// The dose of answer_lost in the site file.
	const (
		share   = 0.025 // of the answers of a target
		lossFor = 5500 * time.Millisecond
	)
	e := d.start(c, twoZones(2), 40*time.Millisecond, newConfiguration("r7", newRoute("r-book", "/book/", "non_idempotent", serviceBilling)))
	if e != nil {
		return verdict{}, e
	}
	x, f := context.WithCancel(c)
	var g sync.WaitGroup
	var v replies
	for _, m := range d.machines {
		d.call(x, &g, m, 5, 50*time.Millisecond, &v, func() *outgoing {
			n := lastID.Load()
			return &outgoing{
				method: http.MethodDelete, target: fmt.Sprintf("/book/%d", n), host: callersHost, deadline: 2 * time.Second,
				header: []string{fmt.Sprintf("X-Idempotency-Key: order-%d", n)},
			}
		})
	}
	sleep(c, settleTime)
	if o {
		d.record.line("%s loses %g of its answers", d.machines[0].ip, share)
		d.machines[0].backend.loseAnswers(share)
	}
	sleep(c, lossFor)
	d.machines[0].backend.loseAnswers(0)
	sleep(c, time.Second)
	f()
	g.Wait()
	r := verdict{rule: "TWICE"}
	n := 0
	for k, a := range d.runs() {
		n++
		if len(a) > 1 {
			r.counted++
			d.record.line("ran %d times  %s: at %s, and %s later at %s", len(a), k, a[0].instance, a[1].at.Sub(a[0].at), a[1].instance)
		}
	}
	r.summary = fmt.Sprintf("%d requests ran; answers by status: %v", n, v.statuses())
	return r, nil
}

// playLargeBody sends one request with a body of three quarters of the limit to a
// machine that other callers use. Counted are requests on kept connections that were
// passed on to a target and whose connection ended without an answer.
func playLargeBody(c context.Context, d *deployment, o bool) (verdict, error) {
	const bodyBytes = 67108864 * 3 / 4
	u := newRoute("r-upload", "/upload/", "non_idempotent", serviceRoster)
	u.Timeout, u.Aim = "10s", "5s"
	e := d.start(c, twoZones(2), 300*time.Millisecond, newConfiguration("r7", newRoute("r-book", "/book/", "non_idempotent", serviceBilling), u))
	if e != nil {
		return verdict{}, e
	}
	x, f := context.WithCancel(c)
	var g sync.WaitGroup
	var v, w replies
	m := d.machines[0]
	d.call(x, &g, m, 10, 10*time.Millisecond, &v, func() *outgoing {
		return &outgoing{method: http.MethodPost, target: "/book/1", host: callersHost, deadline: 2 * time.Second, body: []byte("seat=1")}
	})
	sleep(c, settleTime)
	if o {
		l := newCaller(m.address(outboundPort), d.record)
		p := l.send(&outgoing{method: http.MethodPost, target: "/upload/1", host: callersHost, deadline: 10 * time.Second, body: make([]byte, bodyBytes)})
		w.add(p)
		l.close()
	}
	sleep(c, 3*time.Second)
	f()
	g.Wait()
	r := verdict{rule: "LOST", allowed: 3}
	n := d.runs()
	for _, p := range v.all {
		if p.err != nil && p.kept && len(n[p.id]) > 0 {
			r.counted++
			d.record.line("lost         %s: ran at %s", p.id, n[p.id][0].instance)
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r.summary = fmt.Sprintf("the daemon of %s ended %d times, most memory %d MiB; answers by status: %v, to the large request: %v", m.ip, m.ends, m.peak>>20, v.statuses(), w.statuses())
	return r, nil
}

// playRawPath sends requests whose paths contain a character that browsers leave as it
// is. Counted are runs with another target than the caller sent.
func playRawPath(c context.Context, d *deployment, o bool) (verdict, error) {
	e := d.start(c, twoZones(2), 20*time.Millisecond, newConfiguration("r7", newRoute("r-book", "/book/", "non_idempotent", serviceBilling)))
	if e != nil {
		return verdict{}, e
	}
	sleep(c, settleTime)
	t := "/book/team%2F7/red?seat=a|b"
	if o {
		t = "/book/team%2F7|red?seat=a|b"
	}
	var v replies
	for _, m := range d.machines {
		l := newCaller(m.address(outboundPort), d.record)
		for range 10 {
			v.add(l.send(&outgoing{method: http.MethodPost, target: t, host: callersHost, deadline: 2 * time.Second, body: []byte("seat=1")}))
		}
		l.close()
	}
	r := verdict{rule: "UNASKED"}
	s := ""
	for _, a := range d.runs() {
		if a[0].target != t {
			r.counted++
			s = a[0].target
		}
	}
	r.summary = fmt.Sprintf("sent %s, run last as %q; answers by status: %v", t, s, v.statuses())
	return r, nil
}
