package peer_test

import (
	"fmt"
	"time"

	"github.com/lavenderridge/lavenderridge"
	backendpolicy "github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

const worldService lavenderridge.ServiceID = "billing"

var worldLimits = peer.HomeLimits{
	KeyLifetime: 1500 * time.Millisecond, Skew: 40 * time.Millisecond, Fence: 150 * time.Millisecond, RetryAfter: time.Second,
}

var worldStart = time.Unix(1_800_000_000, 0)

// worldKey is a caller's key with its submissions.
type worldKey struct {
	key     lavenderridge.IdempotencyKey
	first   time.Time
	timed   bool
	runs    int
	result  string
	unknown bool // a submission may have ended in Unknown
}

// worldRun is an admitted request.
type worldRun struct {
	entry   *backendpolicy.LedgerEntry
	key     *worldKey
	started bool
}

// worldWaiter is a submission that waits for the outcome of an entry.
type worldWaiter struct {
	entry *backendpolicy.LedgerEntry
	key   *worldKey
}

// worldProcess is the part of a daemon that concerns homes.
type worldProcess struct {
	id          lavenderridge.InstanceID
	up, frozen  bool
	slow        bool // does not adopt what it hears of
	offset      time.Duration
	incarnation lavenderridge.Incarnation
	held        lavenderridge.Versions
	activation  *peer.HomeActivation
	ledger      *backendpolicy.Ledger
	next        time.Time // of its round of requests
	runs        []*worldRun
	waiters     []*worldWaiter
}

// worldMessage is a message on its way. It is delivered late, twice, out of
// order or never.
type worldMessage struct {
	from, to *worldProcess
	request  *worldKey
	versions lavenderridge.Versions
	ask      *lavenderridge.ActivationRequest
	reply    *lavenderridge.ActivationReply
	asked    time.Time // on the asker's clock
	records  []lavenderridge.LedgerRecord
}

// world is a fleet of one service with callers, a platform and a network, all
// driven by choices.
type world struct {
	choose    func(n int) int
	rules     peer.Rules
	now       time.Time
	lists     []*lavenderridge.InstanceList
	catalogue []*lavenderridge.Catalogue
	snapshots map[lavenderridge.Versions]*peer.HomeMembership
	processes []*worldProcess
	mail      []*worldMessage
	cut       map[[2]*worldProcess]bool
	keys      []*worldKey
	serial    uint64
	runs      int
	outcomes  map[string]int
	fault     string
	last      string // the last answer to a caller
	calm      int    // only one of so many faults comes about
}

func newWorld(r peer.Rules, choose func(n int) int) *world {
	w := &world{
		choose: choose, rules: r, now: worldStart,
		snapshots: map[lavenderridge.Versions]*peer.HomeMembership{},
		cut:       map[[2]*worldProcess]bool{}, outcomes: map[string]int{},
	}
	l, c := &lavenderridge.InstanceList{}, &lavenderridge.Catalogue{Services: []lavenderridge.Service{{ID: worldService, Slots: 10}}}
	for _, d := range []lavenderridge.DataCentreID{"fukuoka", "kumamoto"} {
		c.DataCentres = append(c.DataCentres, lavenderridge.DataCentre{ID: d, State: lavenderridge.InService})
	}
	w.calm = []int{4, 10, 25, 60}[choose(4)]
	n := 3 + choose(3)
	for i := range n {
		d := c.DataCentres[i%2].ID
		p := &worldProcess{id: lavenderridge.InstanceID(fmt.Sprintf("billing-%d", i)), offset: time.Duration(choose(41)-20) * time.Millisecond}
		w.processes = append(w.processes, p)
		l.Instances = append(l.Instances, lavenderridge.Instance{ID: p.id, DataCentre: d, Service: worldService, State: lavenderridge.InstanceLive})
	}
	w.lists, w.catalogue = []*lavenderridge.InstanceList{l}, []*lavenderridge.Catalogue{c}
	for _, p := range w.processes {
		w.start(p, lavenderridge.Versions{Catalogue: 1, InstanceList: 1})
	}
	return w
}

func (w *world) fail(f string, a ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(f, a...)
	}
}

func (w *world) latest() lavenderridge.Versions {
	return lavenderridge.Versions{Catalogue: lavenderridge.Version(len(w.catalogue)), InstanceList: lavenderridge.Version(len(w.lists))}
}

func (w *world) membership(v lavenderridge.Versions) *peer.HomeMembership {
	if m := w.snapshots[v]; m != nil {
		return m
	}
	s := lavenderridge.NewSnapshot(w.catalogue[v.Catalogue-1], w.lists[v.InstanceList-1], lavenderridge.Stamps{
		Catalogue: lavenderridge.Stamp{Version: v.Catalogue}, InstanceList: lavenderridge.Stamp{Version: v.InstanceList},
	}, w.now)
	w.snapshots[v] = peer.NewHomeMembership(s, worldService)
	return w.snapshots[v]
}

func (w *world) clock(p *worldProcess) time.Time {
	return w.now.Add(p.offset)
}

func (w *world) start(p *worldProcess, v lavenderridge.Versions) {
	p.up, p.frozen, p.held = true, false, v
	p.incarnation++
	p.activation = peer.NewHomeActivation(p.id, p.incarnation, worldLimits, w.clock(p))
	p.activation.SetRules(w.rules)
	p.ledger = backendpolicy.NewLedger(backendpolicy.LedgerLimits{Entries: 200, Body: 1 << 10, Bytes: 1 << 16, Lifetime: worldLimits.KeyLifetime + 2*worldLimits.Skew})
	p.runs, p.waiters = nil, nil
	w.adopt(p)
}

func (w *world) adopt(p *worldProcess) {
	p.activation.Adopt(w.membership(p.held), w.clock(p))
}

// pass lets time pass; the loops of the processes that run go on.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, p := range w.processes {
		if !running(p) {
			continue
		}
		p.activation.Tick(w.clock(p))
		if w.now.After(p.next) {
			p.next = w.now.Add(time.Duration(20+w.choose(20)) * time.Millisecond)
			w.round(p)
		}
	}
}

// step takes one action.
func (w *world) step() {
	w.pass(time.Duration(w.choose(4)) * time.Millisecond)
	a := []struct {
		weight int
		do     func()
	}{
		{24, w.submit},
		{20, w.resend},
		{20, w.deliver},
		{8, w.ask},
		{10, w.run},
		{10, w.finish},
		{8, w.learn},
		{3, w.drop},
		{3, w.duplicate},
		{4, w.rarely(w.changeList)},
		{2, w.rarely(w.changeCatalogue)},
		{3, w.rarely(w.kill)},
		{3, w.restart},
		{4, w.rarely(w.bounce)},
		{4, w.rarely(w.slow)},
		{3, w.rarely(w.freeze)},
		{1, w.thaw},
		{4, w.rarely(w.partition)},
		{1, w.heal},
		{2, w.handOver},
		{1, w.rarely(w.stop)},
		{2, w.rarely(w.wait)},
		{2, w.sweep},
		{3, w.rarely(w.oust)},
	}
	t := 0
	for _, v := range a {
		t += v.weight
	}
	n := w.choose(t)
	for _, v := range a {
		if n -= v.weight; n < 0 {
			v.do()
			break
		}
	}
}

func (w *world) rarely(f func()) func() {
	return func() {
		if w.choose(w.calm) == 0 {
			f()
		}
	}
}

func (w *world) pick(f func(p *worldProcess) bool) *worldProcess {
	var a []*worldProcess
	for _, p := range w.processes {
		if f(p) {
			a = append(a, p)
		}
	}
	if len(a) == 0 {
		return nil
	}
	return a[w.choose(len(a))]
}

func running(p *worldProcess) bool { return p.up && !p.frozen }

func (w *world) find(n lavenderridge.InstanceID) *worldProcess {
	for _, p := range w.processes {
		if p.id == n {
			return p
		}
	}
	return nil
}

func (w *world) submit() {
	w.serial++
	k := &worldKey{first: w.now, timed: w.choose(8) > 0}
	i := w.now.Add(time.Duration(w.choose(41)-20) * time.Millisecond).UnixMilli()
	v := 7
	if !k.timed {
		v = 4
	}
	k.key = lavenderridge.IdempotencyKey(fmt.Sprintf("%08x-%04x-%d000-8000-%012x", i>>16, i&0xffff, v, w.serial))
	w.keys = append(w.keys, k)
	w.send(k)
	if w.choose(4) > 0 {
		w.sendByAll(k)
	}
}

// sendByAll submits the key through every daemon at about the same time.
func (w *world) sendByAll(k *worldKey) {
	o := w.choose(len(w.processes))
	for i := range w.processes {
		if p := w.processes[(o+i)%len(w.processes)]; running(p) {
			w.sendBy(p, k)
		}
	}
}

func (w *world) resend() {
	if n := len(w.keys); n > 0 {
		o := 8
		if w.choose(6) == 0 {
			o = 200
		}
		w.send(w.keys[n-1-w.choose(min(n, o))])
	}
}

// send submits the key to any daemon, which sends it on to the home by its own
// snapshot.
func (w *world) send(k *worldKey) {
	if !k.timed && w.now.Sub(k.first) > worldLimits.KeyLifetime-3*worldLimits.Skew {
		return // a caller keeps to the lifetime of a key that holds no time
	}
	if p := w.pick(running); p != nil {
		w.sendBy(p, k)
	}
}

func (w *world) sendBy(p *worldProcess, k *worldKey) {
	h := w.find(w.membership(p.held).Home(k.key))
	if h == nil {
		return
	}
	if h == p {
		w.admit(p, k, p.held)
		return
	}
	k.unknown = true // until the reply comes, which it need not
	w.post(&worldMessage{from: p, to: h, request: k, versions: p.held})
}

// post sends a message. Most messages between processes that reach each other
// arrive at once; a full network loses the oldest.
func (w *world) post(m *worldMessage) {
	if w.choose(4) > 0 && !w.blocked(m) {
		w.receive(m)
		return
	}
	if w.mail = append(w.mail, m); len(w.mail) > 60 {
		w.mail = w.mail[1:]
	}
}

func (w *world) admit(p *worldProcess, k *worldKey, v lavenderridge.Versions) {
	if !k.timed && w.now.Sub(k.first) > worldLimits.KeyLifetime-3*worldLimits.Skew {
		return
	}
	f := func() lavenderridge.KeyAuthority { return p.activation.View() }
	e, o, x := p.ledger.Admit(f, k.key, 1, v, w.clock(p))
	switch {
	case x != nil:
		w.refused(p, k, lavenderridge.AsRefusal(x))
	case o:
		p.runs = append(p.runs, &worldRun{entry: e, key: k})
		p.waiters = append(p.waiters, &worldWaiter{entry: e, key: k})
		if w.choose(4) > 0 {
			w.begin(p, len(p.runs)-1)
		}
	default:
		p.waiters = append(p.waiters, &worldWaiter{entry: e, key: k})
		w.answer(p)
	}
}

func (w *world) refused(p *worldProcess, k *worldKey, f *lavenderridge.Refusal) {
	w.last = f.Error()
	w.outcomes[f.Outcome.String()+" "+string(f.Reason)]++
	if f.Outcome != lavenderridge.OutcomeNotRun {
		k.unknown = true
		return
	}
	if k.runs > 0 {
		w.fail("%s says NotRun of %s, which has run", p.id, k.key)
	}
}

// answer gives the waiters of finished entries their outcome.
func (w *world) answer(p *worldProcess) {
	var a []*worldWaiter
	for _, v := range p.waiters {
		o := v.entry.Outcome()
		switch {
		case o == nil:
			a = append(a, v)
		case o.Response != nil:
			w.outcomes["Done"]++
			w.last = fmt.Sprintf("%s: answered %q", p.id, o.Response.Body)
			if s := string(o.Response.Body); s != v.key.result {
				w.fail("%s answers %s with %q instead of %q", p.id, v.key.key, s, v.key.result)
			}
		default:
			w.refused(p, v.key, o.Refusal)
		}
	}
	p.waiters = a
}

// run gives an admitted request to the backend server, which may refuse it.
func (w *world) run() {
	p := w.pick(func(p *worldProcess) bool { return running(p) && len(p.runs) > 0 })
	if p == nil {
		return
	}
	w.begin(p, w.choose(len(p.runs)))
}

// begin begins the run at i of p's runs, or the backend server refuses it.
func (w *world) begin(p *worldProcess, i int) {
	r := p.runs[i]
	if r.started {
		return
	}
	if w.choose(8) == 0 {
		p.runs = append(p.runs[:i], p.runs[i+1:]...)
		p.ledger.Finish(r.entry, nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonOverloaded, "no slot"))
		w.answer(p)
		return
	}
	r.started = true
	w.runs++
	r.key.runs++
	r.key.result = fmt.Sprintf("run %d", w.runs)
	if r.key.runs > 1 {
		w.fail("%s runs %s again", p.id, r.key.key)
	}
}

func (w *world) finish() {
	p := w.pick(func(p *worldProcess) bool { return running(p) && len(p.runs) > 0 })
	if p == nil {
		return
	}
	i := w.choose(len(p.runs))
	r := p.runs[i]
	if !r.started {
		return
	}
	p.runs = append(p.runs[:i], p.runs[i+1:]...)
	if w.choose(8) == 0 {
		p.ledger.Finish(r.entry, nil, lavenderridge.NewRefusal(lavenderridge.OutcomeUnknown, lavenderridge.ReasonConnectionLost, "reset"))
	} else {
		p.ledger.Finish(r.entry, &lavenderridge.Response{Body: []byte(r.key.result)}, nil)
	}
	w.answer(p)
}

func (w *world) blocked(m *worldMessage) bool {
	return m.to.frozen || w.cut[[2]*worldProcess{m.from, m.to}]
}

func (w *world) deliver() {
	for range 1 + w.choose(6) {
		if len(w.mail) == 0 {
			return
		}
		i := w.choose(len(w.mail))
		m := w.mail[i]
		if w.blocked(m) {
			continue
		}
		w.mail = append(w.mail[:i], w.mail[i+1:]...)
		w.receive(m)
	}
}

func (w *world) receive(m *worldMessage) {
	p := m.to
	if !p.up {
		return
	}
	t := w.clock(p)
	switch {
	case m.request != nil:
		w.admit(p, m.request, m.versions)
	case m.ask != nil:
		w.asked(p, m)
	case m.reply != nil:
		a := *m.reply
		a.Whole = w.merge(p, a.Records) && a.Whole
		p.activation.Answered(m.from.id, &a, m.asked, t)
		if !p.slow && w.choose(8) > 0 {
			p.held = p.held.Max(m.reply.Sender.Stamps.Versions())
			w.adopt(p)
		}
	default:
		w.merge(p, m.records)
	}
}

func (w *world) merge(p *worldProcess, l []lavenderridge.LedgerRecord) bool {
	a := true
	for _, r := range l {
		a = p.ledger.Merge(r, w.clock(p)) && a
	}
	w.answer(p)
	return a
}

func (w *world) sender(p *worldProcess) lavenderridge.Sender {
	return lavenderridge.Sender{Instance: p.id, Incarnation: p.incarnation, Stamps: lavenderridge.Stamps{
		Catalogue:    lavenderridge.Stamp{Version: p.held.Catalogue},
		InstanceList: lavenderridge.Stamp{Version: p.held.InstanceList},
	}}
}

// asked answers an activation request. The process often learns the asker's
// version first.
func (w *world) asked(p *worldProcess, m *worldMessage) {
	if !p.slow && w.choose(8) > 0 {
		p.held = p.held.Max(m.ask.Versions)
		w.adopt(p)
	}
	r := p.activation.Answer(m.ask, w.sender(p), w.clock(p))
	if r.Acknowledged && m.ask.Gathering {
		h := p.activation.Membership()
		n := lavenderridge.ByteCount(min(1, w.choose(8)) << 16)
		if w.rules == (peer.Rules{}) {
			// Which records come without their response is not the same in
			// each run; seeds that are to fail again do without.
			n = lavenderridge.ByteCount(w.choose(1 << 13))
		}
		if r.Records, r.Whole = p.ledger.Records(m.from.id, h.Home, n); n == 0 {
			r.Records = nil
		}
	}
	w.post(&worldMessage{from: p, to: m.from, reply: r, asked: m.asked})
}

// ask sends an activation request to one other listed instance.
func (w *world) ask() {
	if p := w.pick(running); p != nil {
		l := p.activation.Membership().Listed()
		w.askOne(p, l[w.choose(len(l))])
	}
}

// round sends activation requests to all other listed instances.
func (w *world) round(p *worldProcess) {
	for _, n := range p.activation.Membership().Listed() {
		w.askOne(p, n)
	}
}

func (w *world) askOne(p *worldProcess, n lavenderridge.InstanceID) {
	if n != p.id {
		w.post(&worldMessage{from: p, to: w.find(n), ask: p.activation.Request(w.sender(p)), asked: w.clock(p)})
	}
}

func (w *world) learn() {
	p := w.pick(running)
	if p == nil || p.slow && w.choose(8) > 0 {
		return
	}
	v, n := w.latest(), p.held
	if w.choose(2) == 0 {
		n.Catalogue += lavenderridge.Version(w.choose(int(v.Catalogue-n.Catalogue) + 1))
	} else {
		n.InstanceList += lavenderridge.Version(w.choose(int(v.InstanceList-n.InstanceList) + 1))
	}
	p.held, p.slow = n, p.slow && w.choose(2) == 0
	w.adopt(p)
}

func (w *world) drop() {
	if n := len(w.mail); n > 0 {
		i := w.choose(n)
		w.mail = append(w.mail[:i], w.mail[i+1:]...)
	}
}

// duplicate copies a message between daemons. Callers' requests travel on
// streams, which carry them once.
func (w *world) duplicate() {
	if n := len(w.mail); n > 0 && n < 60 {
		w.mail = append(w.mail, w.mail[w.choose(n)])
	}
}

func (w *world) changeList() {
	l := &lavenderridge.InstanceList{}
	old := w.lists[len(w.lists)-1]
	x := w.processes[w.choose(len(w.processes))]
	listed, all := false, len(old.Instances) == len(w.processes)
	for _, n := range old.Instances {
		if n.ID != x.id {
			l.Instances = append(l.Instances, n)
			continue
		}
		listed = true
		switch {
		case all && w.choose(3) == 0:
			continue
		case n.State == lavenderridge.InstanceLive:
			n.State = lavenderridge.InstanceLeaving
		default:
			n.State = lavenderridge.InstanceLive
		}
		l.Instances = append(l.Instances, n)
	}
	if !listed {
		for i, p := range w.processes {
			if p == x {
				n := w.lists[0].Instances[i]
				l.Instances = append(l.Instances, n)
			}
		}
	}
	sortInstances(l)
	w.lists = append(w.lists, l)
}

func sortInstances(l *lavenderridge.InstanceList) {
	for i := range l.Instances {
		for j := i; j > 0 && l.Instances[j].ID < l.Instances[j-1].ID; j-- {
			l.Instances[j], l.Instances[j-1] = l.Instances[j-1], l.Instances[j]
		}
	}
}

func (w *world) changeCatalogue() {
	old := w.catalogue[len(w.catalogue)-1]
	c := *old
	c.DataCentres = append([]lavenderridge.DataCentre(nil), old.DataCentres...)
	d := &c.DataCentres[w.choose(2)]
	if d.State == lavenderridge.InService {
		d.State = lavenderridge.OutOfService
	} else {
		d.State = lavenderridge.InService
	}
	w.catalogue = append(w.catalogue, &c)
}

func (w *world) kill() {
	if p := w.pick(func(p *worldProcess) bool { return p.up }); p != nil {
		p.up = false
	}
}

// restart starts a process with nothing and from old versions.
func (w *world) restart() {
	if p := w.pick(func(p *worldProcess) bool { return !p.up }); p != nil {
		w.restartOne(p)
	}
}

// bounce kills a process and starts it again at once.
func (w *world) bounce() {
	if p := w.pick(func(p *worldProcess) bool { return p.up }); p != nil {
		w.restartOne(p)
	}
}

// slow makes a process slow to adopt versions.
func (w *world) slow() {
	w.processes[w.choose(len(w.processes))].slow = true
}

func (w *world) restartOne(p *worldProcess) {
	v := w.latest()
	o := lavenderridge.Versions{
		Catalogue:    max(1, v.Catalogue-lavenderridge.Version(w.choose(min(4, int(v.Catalogue))))),
		InstanceList: max(1, v.InstanceList-lavenderridge.Version(w.choose(min(4, int(v.InstanceList))))),
	}
	w.start(p, o)
}

func (w *world) freeze() {
	if p := w.pick(running); p != nil {
		p.frozen = true
	}
}

func (w *world) thaw() {
	if p := w.pick(func(p *worldProcess) bool { return p.up && p.frozen }); p != nil {
		p.frozen = false
	}
}

// partition cuts the fleet in two, or only two processes off from each other.
// Messages across are held back.
func (w *world) partition() {
	if w.choose(3) == 0 {
		p, q := w.processes[w.choose(len(w.processes))], w.processes[w.choose(len(w.processes))]
		w.cut[[2]*worldProcess{p, q}], w.cut[[2]*worldProcess{q, p}] = true, true
		return
	}
	clear(w.cut)
	g := 1 + w.choose(1<<len(w.processes)-2)
	for i, p := range w.processes {
		for j, q := range w.processes {
			if g>>i&1 != g>>j&1 {
				w.cut[[2]*worldProcess{p, q}] = true
			}
		}
	}
}

func (w *world) heal() {
	clear(w.cut)
}

// handOver sends the records of keys whose home is elsewhere to their homes.
func (w *world) handOver() {
	if p := w.pick(running); p != nil {
		w.push(p, "")
	}
}

func (w *world) push(p *worldProcess, x lavenderridge.InstanceID) {
	h := p.activation.Membership()
	f := func(k lavenderridge.IdempotencyKey) lavenderridge.InstanceID {
		if n := h.HomeWithout(k, x); n != p.id {
			return n
		}
		return ""
	}
	l := p.ledger.HandOver(f, 1<<16)
	for _, q := range w.processes {
		if len(l[q.id]) > 0 {
			w.post(&worldMessage{from: p, to: q, records: l[q.id]})
		}
	}
}

// stop is a planned stop: the ledger goes to the next homes.
func (w *world) stop() {
	if p := w.pick(running); p != nil {
		w.push(p, p.id)
		p.up = false
	}
}

// wait lets time pass in which nothing happens but ticks.
func (w *world) wait() {
	for range w.choose(40) {
		w.pass(10 * time.Millisecond)
	}
}

func (w *world) sweep() {
	if p := w.pick(running); p != nil {
		p.ledger.Sweep(w.clock(p))
	}
}

// oust drops a process from the list while it runs behind a partition or is
// frozen, and may list it again later. Callers reach every daemon meanwhile.
func (w *world) oust() {
	w.repair()
	x := w.pick(running)
	old := w.lists[len(w.lists)-1]
	w.split(x, nil)
	x.frozen = w.choose(4) == 0
	l := &lavenderridge.InstanceList{}
	for _, n := range old.Instances {
		if n.ID != x.id {
			l.Instances = append(l.Instances, n)
		}
	}
	w.lists = append(w.lists, l)
	w.adoptAll(x)
	if y := w.pick(running); w.choose(2) == 0 && y != nil && y != x { // an old list returns with y
		w.restartOne(y)
		w.split(x, y)
	}
	w.burst()
	if w.choose(2) == 0 {
		w.wait()
		w.burst()
	}
	if w.choose(2) == 0 {
		w.readmit(x, old)
	}
}

// repair brings the fleet into a state in which every home is active.
func (w *world) repair() {
	w.heal()
	for _, p := range w.processes {
		if p.frozen = false; !p.up {
			w.restartOne(p)
		}
	}
	w.lists = append(w.lists, w.lists[0])
	w.adoptAll(nil)
	for range 8 {
		w.pass(50 * time.Millisecond)
	}
	w.burst()
}

// readmit lists x again. One other process is cut off and does not hear so.
func (w *world) readmit(x *worldProcess, old *lavenderridge.InstanceList) {
	w.lists = append(w.lists, old)
	x.frozen = false
	y := w.pick(func(p *worldProcess) bool { return running(p) && p != x })
	if y == nil {
		return
	}
	w.split(y, nil)
	w.adoptAll(y)
	w.burst()
}

// adoptAll lets all but x adopt the latest versions and exchange.
func (w *world) adoptAll(x *worldProcess) {
	for _, p := range w.processes {
		if running(p) && p != x && w.choose(8) > 0 {
			p.held = w.latest()
			w.adopt(p)
		}
	}
	for range 2 {
		for _, p := range w.processes {
			if running(p) {
				w.round(p)
			}
		}
	}
}

// split cuts x and y off from the others.
func (w *world) split(x, y *worldProcess) {
	clear(w.cut)
	for _, p := range w.processes {
		for _, q := range w.processes {
			if (p == x || p == y) != (q == x || q == y) {
				w.cut[[2]*worldProcess{p, q}] = true
			}
		}
	}
}

func (w *world) burst() {
	for range 4 {
		w.pass(time.Duration(w.choose(60)) * time.Millisecond)
		w.submit()
	}
}
