//go:build review

package review_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// configApply is the time within which a configuration is in force.
	configApply = 2 * time.Second
	// minChangeInterval is the shortest time between two changes of the configuration;
	// changeJitter is added at random, so that they don't keep step with the readers.
	minChangeInterval = 3500 * time.Millisecond
	changeJitter      = 1500 * time.Millisecond
	configChanges     = 18
)

// movedRoute returns the configuration of the version v, which sends the callers'
// requests to the service s.
func movedRoute(v, s string) configuration {
	return newConfiguration(v, newRoute("r-list", "/list/", "idempotent", s))
}

// change is a change of the configuration that the store has acknowledged.
type change struct {
	at, until time.Time // until the next change
	service   string
}

// playChanges moves the route between the two services n times, with the callers at the
// machines a. The function w returns the time until the next change. Counted are
// requests that were sent later than configApply after the acknowledgement of a change
// and run by the former service.
func (d *deployment) playChanges(c context.Context, a []*machine, n int, w func() time.Duration) verdict {
	x, f := context.WithCancel(c)
	var g sync.WaitGroup
	var v replies
	for _, m := range a {
		d.call(x, &g, m, 1, 100*time.Millisecond, &v, func() *outgoing {
			return &outgoing{method: http.MethodGet, target: "/list/1", host: callersHost, deadline: 2 * time.Second}
		})
	}
	var h []change
	for i := range n {
		s := []string{serviceRoster, serviceBilling}[i%2]
		h = append(h, change{service: s})
		d.configure(movedRoute(fmt.Sprintf("r%d", 10+3*i), s))
		h[i].at = time.Now()
		sleep(c, w())
		h[i].until = time.Now()
	}
	f()
	g.Wait()
	r := verdict{rule: "CONFIG"}
	q := d.runs()
	late := make([]time.Duration, n)
	for _, p := range v.all {
		i := slices.IndexFunc(h, func(k change) bool { return p.sentAt.After(k.at) && p.sentAt.Before(k.until) })
		if i < 0 || len(q[p.id]) == 0 || q[p.id][0].service == h[i].service {
			continue
		}
		if t := p.sentAt.Sub(h[i].at); t > configApply {
			r.counted++
			late[i] = max(late[i], t)
			d.record.line("stale        %s: sent %s after the acknowledgement, run by %s (%s)", p.id, t, q[p.id][0].instance, q[p.id][0].service)
		}
	}
	r.summary = fmt.Sprintf("latest request to the former service, by change: %v; answers by status: %v", late, v.statuses())
	return r
}

// playOtherWriter registers entries of another writer, whose service is in no
// configuration, two in each zone.
func playOtherWriter(c context.Context, d *deployment, o bool) (verdict, error) {
	e := d.start(c, twoZones(3), 10*time.Millisecond, movedRoute("r7", serviceBilling))
	if e != nil {
		return verdict{}, e
	}
	sleep(c, settleTime)
	if o {
		a := highestRanked()
		for i, v := range a[:4] {
			d.register(fmt.Sprintf("other-%d", i), entry{Service: "zuku404", Address: v + ":8301", Zone: d.zones[i%2], State: "ready"})
		}
	}
	sleep(c, settleTime)
	d.store.takeWatchers()
	v := d.playChanges(c, d.machines, configChanges, func() time.Duration { return minChangeInterval + rand.N(changeJitter) })
	d.record.line("calls of the store: %v", d.store.watchCounts())
	return v, nil
}

// highestRanked returns addresses that nobody uses, ordered by the hash by which the
// daemons rank the machines of a zone.
func highestRanked() []string {
	var a []string
	for i := range 40 {
		for j := range 250 {
			a = append(a, fmt.Sprintf("127.250.%d.%d", i, j+1))
		}
	}
	slices.SortFunc(a, func(x, y string) int { return cmp.Compare(xxhash.Sum64String(y), xxhash.Sum64String(x)) })
	return a
}

// playTurnedAway makes the store turn away the machines that watch it, and serve the
// others, at which the callers are.
func playTurnedAway(c context.Context, d *deployment, o bool) (verdict, error) {
	e := d.start(c, twoZones(6), 10*time.Millisecond, movedRoute("r7", serviceBilling))
	if e != nil {
		return verdict{}, e
	}
	sleep(c, settleTime)
	d.store.takeWatchers()
	sleep(c, settleTime)
	w := d.store.takeWatchers()
	d.record.line("%s watch the store", strings.Join(w, ", "))
	a := slices.DeleteFunc(slices.Clone(d.machines), func(m *machine) bool { return slices.Contains(w, m.ip) })
	if o {
		d.store.turnAway(w)
		d.record.line("the store turns %d of %d machines away", len(w), len(d.machines))
	}
	sleep(c, 500*time.Millisecond)
	v := d.playChanges(c, a, 1, func() time.Duration { return 8500 * time.Millisecond })
	d.store.turnAway(nil)
	return v, nil
}
