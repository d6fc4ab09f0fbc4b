//go:build review

// Package fleet2 plays cases of the second review against the daemon, as separate
// processes on loopback addresses.
package fleet2

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken is the error of a case in which the rule was broken.
type errBroken string

func (e errBroken) Error() string { return string(e) }

// TestMain plays the case that the environment names. Without TROUBLE=0 it includes the
// disruption.
func TestMain(*testing.M) {
	plays := map[string]func(string, bool) error{
		"cold": playCold, "pipeline": playPipeline, "settings": playSettings, "readers": playReaders,
	}
	play := plays[os.Getenv("CASE")]
	if play == nil {
		fmt.Println("no such case")
		os.Exit(exitFailed)
	}
	err := play(os.Getenv("FOLDER"), os.Getenv("TROUBLE") != "0")
	var b errBroken
	switch {
	case err == nil:
		fmt.Println("the rule held")
		os.Exit(exitHeld)
	case errors.As(err, &b):
		fmt.Println("broken:", b)
		os.Exit(exitBroken)
	}
	fmt.Println("could not run:", err)
	os.Exit(exitFailed)
}

const (
	serviceA = "huvo11a"
	serviceB = "kafi81c"
	pathOne  = "/leny950/"
	pathTwo  = "/puka111/"
)

var bothServices = []string{serviceA, serviceB}

// newSmallFleet returns a fleet of 18 machines in three zones, of two services in turn.
func newSmallFleet(folder string) (*fleet, error) {
	var a []string
	for i := range 18 {
		a = append(a, bothServices[i/3%2])
	}
	return newFleet(folder, 3, a...)
}

// finish ends the load, waits for its requests and writes the record.
func (f *fleet) finish(cancel context.CancelFunc) {
	cancel()
	f.clients.Wait()
	f.writeRecord()
}

const (
	// grownConfigBound is configApply of shiranami-kyushu-grown.
	grownConfigBound = 2500 * time.Millisecond
	// powerLoss is how long machines stay without power, and powerShare the largest share
	// of the machines that do.
	powerLoss  = 3500 * time.Millisecond
	powerShare = 0.16
)

// playReaders takes the power from the machines whose daemons read the store, while a
// configuration is accepted.
func playReaders(folder string, trouble bool) error {
	var a []string
	for i := range 52 {
		a = append(a, bothServices[i/4%2])
	}
	f, err := newFleet(folder, 4, a...)
	if err != nil {
		return err
	}
	defer f.close()
	before := newConfig(7, bothServices, map[string]string{pathOne: serviceA, pathTwo: serviceB}, "idempotent")
	if err := f.start(before); err != nil {
		return err
	}
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	lost := f.readers(before)
	if float64(len(lost)) > powerShare*float64(len(f.machines)) {
		return fmt.Errorf("%d readers of %d machines are too many", len(lost), len(f.machines))
	}
	for _, m := range f.machines {
		m.load(c, http.MethodGet, pathOne, 8)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for _, m := range lost {
			f.note("%s loses power", m.name)
			m.signal(syscall.SIGKILL)
			m.target.stop()
		}
	}
	time.Sleep(50 * time.Millisecond)
	acked := f.store.put("op/config", newConfig(9, bothServices, map[string]string{pathOne: serviceB, pathTwo: serviceB}, "idempotent"))
	f.note("configuration r9 acknowledged: %s leads to %s", pathOne, serviceB)
	time.Sleep(powerLoss - 50*time.Millisecond)
	if trouble {
		for _, m := range lost {
			if err := m.restore(); err != nil {
				return err
			}
		}
		f.note("%d machines have power again", len(lost))
	}
	time.Sleep(6 * time.Second)
	f.finish(cancel)
	return f.judgeReaders(lost, acked)
}

// restore starts the target and the daemon of a machine that had no power.
func (m *machine) restore() error {
	m.kill()
	m.target.unregister()
	if err := m.target.start(coldStart); err != nil {
		return err
	}
	return m.startDaemon()
}

// judgeReaders counts the requests that machines in touch sent late by the old
// configuration.
func (f *fleet) judgeReaders(lost []*machine, acked time.Time) error {
	sent := map[string]*request{}
	for _, r := range f.sent {
		sent[r.id] = r
	}
	late, last := map[string]bool{}, time.Duration(0)
	for _, a := range f.arrivals {
		r := sent[a.id]
		if r == nil || a.service != serviceA || slices.Contains(lost, r.machine) || !r.sentAt.After(acked.Add(grownConfigBound)) {
			continue
		}
		late[a.id] = true
		last = max(last, r.sentAt.Sub(acked))
	}
	f.note("%d requests of machines in touch were sent later than %s after the acknowledgement and run by the old service, the last one after %s", len(late), grownConfigBound, last)
	if len(late) > 0 {
		return errBroken(fmt.Sprintf("CONFIG: %d requests run by the old service, the last one sent %s after the acknowledgement", len(late), last))
	}
	return nil
}

// playCold lets a target become cold again without a restart.
func playCold(folder string, trouble bool) error {
	f, err := newFleet(folder, 3, serviceA, serviceA, serviceA, serviceB, serviceB, serviceB)
	if err != nil {
		return err
	}
	defer f.close()
	for _, m := range f.machines {
		m.target.crashAbove = 2 * (coldPerS*coldFactor + coldSlack)
	}
	if err := f.start(newConfig(7, bothServices, map[string]string{pathOne: serviceA}, "non_idempotent")); err != nil {
		return err
	}
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range f.machines {
		m.load(c, http.MethodPost, pathOne, 35)
	}
	time.Sleep(5 * time.Second)
	cold, began := f.machines[0].target, time.Now()
	id := cold.id
	if trouble {
		cold.turnCold(coldStart, heartbeat/2)
		f.note("%s is cold for %s", id, coldStart)
	}
	time.Sleep(6 * time.Second)
	f.finish(cancel)
	if !trouble {
		return nil
	}
	most := f.mostInSecond(id, began, began.Add(coldStart))
	lost := 0
	for _, r := range f.sent {
		if r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout {
			lost++
		}
	}
	f.note("%d requests reached %s in one second while it was cold; %d crashes; %d payments answered with 502 or 504", most, id, cold.crashes, lost)
	if float64(most) > coldPerS*coldFactor+coldSlack {
		return errBroken(fmt.Sprintf("FAILBACK: %d requests in one second, bound %.1f; %d crashes, %d payments without an outcome", most, coldPerS*coldFactor+coldSlack, cold.crashes, lost))
	}
	return nil
}

// mostInSecond returns the most requests that were sent and reached the target id in one
// second from a to b.
func (f *fleet) mostInSecond(id string, a, b time.Time) int {
	sent := map[string]time.Time{}
	for _, r := range f.sent {
		sent[r.id] = r.sentAt
	}
	most := 0
	var w []arrival
	for _, v := range f.arrivals {
		if v.target != id || v.at.Before(a) || v.at.After(b) {
			continue
		}
		w = append(w, v)
		n := 0
		for _, x := range w {
			if s := v.at.Add(-time.Second); x.at.After(s) && sent[x.id].After(s) && sent[x.id].After(a) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// The settings of the machines change at different times after the start of their daemons.
const (
	firstChange  = 1500 * time.Microsecond
	changeFactor = 1.15
	roundFactor  = 1.07
	rounds       = 2
)

// playSettings replaces the targets beside the daemons by those of the other service, while
// the daemons are being started.
func playSettings(folder string, trouble bool) error {
	f, err := newSmallFleet(folder)
	if err != nil {
		return err
	}
	defer f.close()
	if err := f.start(newConfig(7, bothServices, map[string]string{pathOne: serviceA, pathTwo: serviceB}, "idempotent")); err != nil {
		return err
	}
	for i := range rounds {
		if err := f.changeServices(trouble, float64(firstChange)*math.Pow(roundFactor, float64(i))); err != nil {
			return err
		}
	}
	f.writeRecord()
	return f.judgeSettings()
}

// changeServices replaces each target by one of the other service, and then sends requests.
// With trouble, each daemon is started again before. The first settings change the time d
// (in nanoseconds) after the start, each next one somewhat later after its own.
func (f *fleet) changeServices(trouble bool, d float64) error {
	for _, m := range f.machines {
		if err := m.changeService(trouble, time.Duration(d)); err != nil {
			return err
		}
		d *= changeFactor
	}
	time.Sleep(time.Second)
	for _, m := range f.machines {
		m.signal(syscall.SIGHUP)
	}
	f.note("SIGHUP for all daemons")
	time.Sleep(time.Second)
	for _, m := range f.machines {
		if err := m.target.start(0); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range f.machines {
		m.load(c, http.MethodGet, pathOne, 5)
	}
	time.Sleep(3 * time.Second)
	cancel()
	f.clients.Wait()
	return nil
}

// changeService ends the target and, with trouble, starts the daemon again. After the time
// d it gives the machine to the other service.
func (m *machine) changeService(trouble bool, d time.Duration) error {
	m.target.stop()
	m.target.unregister()
	if trouble {
		m.kill()
		if err := m.startDaemon(); err != nil {
			return err
		}
	}
	time.Sleep(d)
	m.service = map[string]string{serviceA: serviceB, serviceB: serviceA}[m.service]
	m.target.service = m.service
	m.fleet.note("%s belongs to %s now, %s after the start of its daemon", m.name, m.service, d)
	return m.writeSettings()
}

// judgeSettings counts the requests whose caller was the service of a target that was gone.
func (f *fleet) judgeSettings() error {
	sent := map[string]*request{}
	for _, r := range f.sent {
		sent[r.id] = r
	}
	wrong, of := 0, map[string]int{}
	for _, a := range f.arrivals {
		if r := sent[a.id]; r != nil && a.caller != r.service {
			wrong++
			of[r.machine.name]++
		}
	}
	f.note("%d of %d requests ran with the service of another machine as their caller: %v", wrong, len(f.sent), of)
	if wrong > 0 {
		return errBroken(fmt.Sprintf("UNASKED: %d of %d requests with a wrong caller, from %v", wrong, len(f.sent), of))
	}
	return nil
}

// playPipeline stops a daemon by SIGTERM while it answers clients that send further
// requests before the first has been answered.
func playPipeline(folder string, trouble bool) error {
	f, err := newFleet(folder, 3, serviceA, serviceA, serviceA, serviceB, serviceB, serviceB)
	if err != nil {
		return err
	}
	defer f.close()
	for _, m := range f.machines {
		m.target.work, m.target.body = 480*time.Millisecond, []byte(strings.Repeat("x", 30_000))
	}
	if err := f.start(newConfig(7, bothServices, map[string]string{pathOne: serviceA}, "idempotent")); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	results := make(chan pipelined, 20)
	for range cap(results) {
		go func() { results <- f.machines[0].sendPipelined(pathOne) }()
	}
	time.Sleep(250 * time.Millisecond)
	if trouble {
		f.note("SIGTERM for the daemon of %s", f.machines[0].name)
		f.machines[0].signal(syscall.SIGTERM)
	}
	n := 0
	for range cap(results) {
		r := <-results
		f.note("first request %s: %d of %d bytes, runs %d, %s", r.id, r.got, r.length, f.runs[r.id], r.err)
		if !r.whole() && f.runs[r.id] > 0 {
			n++
		}
	}
	f.writeRecord()
	if n > 0 {
		return errBroken(fmt.Sprintf("LOST: %d of %d answers ended early", n, cap(results)))
	}
	return nil
}
