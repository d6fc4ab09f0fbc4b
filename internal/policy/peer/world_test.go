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

// worldKey is an idempotency key of a caller and its state over all submissions.
type worldKey struct {
	key          lavenderridge.IdempotencyKey
	submittedAt  time.Time
	hasIssueTime bool
	runs         int
	result       string
	unknown      bool // a submission may have had the outcome Unknown
}

// worldRun is an admitted request, and whether the backend server runs it.
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

// worldProcess holds the state of a daemon that concerns homes.
type worldProcess struct {
	id          lavenderridge.InstanceID
	up, paused  bool
	slowToAdopt bool // seldom adopts the versions that it receives
	offset      time.Duration
	incarnation lavenderridge.Incarnation
	adopted     lavenderridge.Versions
	activation  *peer.HomeActivation
	ledger      *backendpolicy.Ledger
	nextRound   time.Time // when it next sends activation requests
	runs        []*worldRun
	waiters     []*worldWaiter
}

// worldMessage is a message in transit. It may be delivered late, twice, out of
// order or never.
type worldMessage struct {
	from, to          *worldProcess
	submission        *worldKey
	versions          lavenderridge.Versions
	activationRequest *lavenderridge.ActivationRequest
	reply             *lavenderridge.ActivationReply
	requestedAt       time.Time // on the requester's clock
	records           []lavenderridge.LedgerRecord
}

// world simulates the fleet of one service with callers, a platform and a network.
// The function choose makes every choice.
type world struct {
	choose     func(n int) int
	rules      peer.Rules
	now        time.Time
	lists      []*lavenderridge.InstanceList
	catalogues []*lavenderridge.Catalogue
	snapshots  map[lavenderridge.Versions]*peer.HomeMembership
	processes  []*worldProcess
	inTransit  []*worldMessage
	cut        map[[2]*worldProcess]bool
	keys       []*worldKey
	serial     uint64
	runs       int
	outcomes   map[string]int
	fault      string
	lastAnswer string // to a caller
	faultOdds  int    // one in so many chosen faults is carried out
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
	w.faultOdds = []int{4, 10, 25, 60}[choose(4)]
	n := 3 + choose(3)
	for i := range n {
		d := c.DataCentres[i%2].ID
		p := &worldProcess{id: lavenderridge.InstanceID(fmt.Sprintf("billing-%d", i)), offset: time.Duration(choose(41)-20) * time.Millisecond}
		w.processes = append(w.processes, p)
		l.Instances = append(l.Instances, lavenderridge.Instance{ID: p.id, DataCentre: d, Service: worldService, State: lavenderridge.InstanceLive})
	}
	w.lists, w.catalogues = []*lavenderridge.InstanceList{l}, []*lavenderridge.Catalogue{c}
	for _, p := range w.processes {
		w.start(p, lavenderridge.Versions{Catalogue: 1, InstanceList: 1})
	}
	return w
}

// fail records a fault, unless one was found before.
func (w *world) fail(f string, a ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(f, a...)
	}
}

func (w *world) latest() lavenderridge.Versions {
	return lavenderridge.Versions{Catalogue: lavenderridge.Version(len(w.catalogues)), InstanceList: lavenderridge.Version(len(w.lists))}
}

func (w *world) membership(v lavenderridge.Versions) *peer.HomeMembership {
	if m := w.snapshots[v]; m != nil {
		return m
	}
	s := lavenderridge.NewSnapshot(w.catalogues[v.Catalogue-1], w.lists[v.InstanceList-1], lavenderridge.Stamps{
		Catalogue: lavenderridge.Stamp{Version: v.Catalogue}, InstanceList: lavenderridge.Stamp{Version: v.InstanceList},
	}, w.now)
	w.snapshots[v] = peer.NewHomeMembership(s, worldService)
	return w.snapshots[v]
}

func (w *world) clock(p *worldProcess) time.Time {
	return w.now.Add(p.offset)
}

func (w *world) start(p *worldProcess, v lavenderridge.Versions) {
	p.up, p.paused, p.adopted = true, false, v
	p.incarnation++
	p.activation = peer.NewHomeActivation(p.id, p.incarnation, worldLimits, w.clock(p))
	p.activation.SetRules(w.rules)
	p.ledger = backendpolicy.NewLedger(backendpolicy.LedgerLimits{Entries: 200, Body: 1 << 10, Bytes: 1 << 16, Lifetime: worldLimits.KeyLifetime + 2*worldLimits.Skew})
	p.runs, p.waiters = nil, nil
	w.adopt(p)
}

func (w *world) adopt(p *worldProcess) {
	p.activation.Adopt(w.membership(p.adopted), w.clock(p))
}

// advance moves the clock forward by d. Running processes tick and send the
// requests that are due.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, p := range w.processes {
		if !running(p) {
			continue
		}
		p.activation.Tick(w.clock(p))
		if w.now.After(p.nextRound) {
			p.nextRound = w.now.Add(time.Duration(20+w.choose(20)) * time.Millisecond)
			w.requestAll(p)
		}
	}
}

// step takes one random action, with the given weights.
func (w *world) step() {
	w.advance(time.Duration(w.choose(4)) * time.Millisecond)
	a := []struct {
		weight int
		do     func()
	}{
		{24, w.submit},
		{20, w.resend},
		{20, w.deliver},
		{8, w.requestRandom},
		{10, w.run},
		{10, w.finishRun},
		{8, w.adoptLater},
		{3, w.drop},
		{3, w.duplicate},
		{4, w.rarely(w.changeList)},
		{2, w.rarely(w.changeCatalogue)},
		{3, w.rarely(w.kill)},
		{3, w.restart},
		{4, w.rarely(w.killAndRestart)},
		{4, w.rarely(w.makeSlow)},
		{3, w.rarely(w.pause)},
		{1, w.resume},
		{4, w.rarely(w.partition)},
		{1, w.heal},
		{2, w.handOver},
		{1, w.rarely(w.stop)},
		{2, w.rarely(w.stayIdle)},
		{2, w.sweep},
		{3, w.rarely(w.dropRunning)},
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

// rarely returns a function that calls f once in faultOdds calls on average.
func (w *world) rarely(f func()) func() {
	return func() {
		if w.choose(w.faultOdds) == 0 {
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

func running(p *worldProcess) bool { return p.up && !p.paused }

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
	k := &worldKey{submittedAt: w.now, hasIssueTime: w.choose(8) > 0}
	i := w.now.Add(time.Duration(w.choose(41)-20) * time.Millisecond).UnixMilli()
	v := 7
	if !k.hasIssueTime {
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

// send submits the key to any daemon, which forwards it to its home under the
// daemon's own snapshot.
func (w *world) send(k *worldKey) {
	if !k.hasIssueTime && w.now.Sub(k.submittedAt) > worldLimits.KeyLifetime-3*worldLimits.Skew {
		return // callers themselves respect the lifetime of a key without a time of issue
	}
	if p := w.pick(running); p != nil {
		w.sendBy(p, k)
	}
}

func (w *world) sendBy(p *worldProcess, k *worldKey) {
	h := w.find(w.membership(p.adopted).Home(k.key))
	if h == nil {
		return
	}
	if h == p {
		w.admit(p, k, p.adopted)
		return
	}
	k.unknown = true // the reply may never arrive
	w.post(&worldMessage{from: p, to: h, submission: k, versions: p.adopted})
}

// post sends a message. Unless it is blocked, it is delivered immediately in three
// of four cases. If too many messages are in transit, the oldest is lost.
func (w *world) post(m *worldMessage) {
	if w.choose(4) > 0 && !w.blocked(m) {
		w.receive(m)
		return
	}
	if w.inTransit = append(w.inTransit, m); len(w.inTransit) > 60 {
		w.inTransit = w.inTransit[1:]
	}
}

// admit submits the key to the ledger of its home p.
func (w *world) admit(p *worldProcess, k *worldKey, v lavenderridge.Versions) {
	if !k.hasIssueTime && w.now.Sub(k.submittedAt) > worldLimits.KeyLifetime-3*worldLimits.Skew {
		return
	}
	f := func() lavenderridge.KeyAuthority { return p.activation.View() }
	e, o, x := p.ledger.Admit(f, k.key, 1, v, w.clock(p))
	switch {
	case x != nil:
		w.checkRefusal(p, k, lavenderridge.AsRefusal(x))
	case o:
		p.runs = append(p.runs, &worldRun{entry: e, key: k})
		p.waiters = append(p.waiters, &worldWaiter{entry: e, key: k})
		if w.choose(4) > 0 {
			w.beginRun(p, len(p.runs)-1)
		}
	default:
		p.waiters = append(p.waiters, &worldWaiter{entry: e, key: k})
		w.answerWaiters(p)
	}
}

// checkRefusal fails if a key that has run is refused with NotRun.
func (w *world) checkRefusal(p *worldProcess, k *worldKey, f *lavenderridge.Refusal) {
	w.lastAnswer = f.Error()
	w.outcomes[f.Outcome.String()+" "+string(f.Reason)]++
	if f.Outcome != lavenderridge.OutcomeNotRun {
		k.unknown = true
		return
	}
	if k.runs > 0 {
		w.fail("%s refuses %s with NotRun although it has run", p.id, k.key)
	}
}

// answerWaiters gives the outcomes of finished entries to the waiting submissions.
func (w *world) answerWaiters(p *worldProcess) {
	var a []*worldWaiter
	for _, v := range p.waiters {
		o := v.entry.Outcome()
		switch {
		case o == nil:
			a = append(a, v)
		case o.Response != nil:
			w.outcomes["Done"]++
			w.lastAnswer = fmt.Sprintf("%s: answered %q", p.id, o.Response.Body)
			if s := string(o.Response.Body); s != v.key.result {
				w.fail("%s answers %s with %q instead of %q", p.id, v.key.key, s, v.key.result)
			}
		default:
			w.checkRefusal(p, v.key, o.Refusal)
		}
	}
	p.waiters = a
}

// run passes an admitted request to the backend server.
func (w *world) run() {
	p := w.pick(func(p *worldProcess) bool { return running(p) && len(p.runs) > 0 })
	if p == nil {
		return
	}
	w.beginRun(p, w.choose(len(p.runs)))
}

// beginRun begins the run i of p, unless the backend server refuses it.
func (w *world) beginRun(p *worldProcess, i int) {
	r := p.runs[i]
	if r.started {
		return
	}
	if w.choose(8) == 0 {
		p.runs = append(p.runs[:i], p.runs[i+1:]...)
		p.ledger.Finish(r.entry, nil, lavenderridge.NewRefusal(lavenderridge.OutcomeNotRun, lavenderridge.ReasonOverloaded, "no slot"))
		w.answerWaiters(p)
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

func (w *world) finishRun() {
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
	w.answerWaiters(p)
}

func (w *world) blocked(m *worldMessage) bool {
	return m.to.paused || w.cut[[2]*worldProcess{m.from, m.to}]
}

func (w *world) deliver() {
	for range 1 + w.choose(6) {
		if len(w.inTransit) == 0 {
			return
		}
		i := w.choose(len(w.inTransit))
		m := w.inTransit[i]
		if w.blocked(m) {
			continue
		}
		w.inTransit = append(w.inTransit[:i], w.inTransit[i+1:]...)
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
	case m.submission != nil:
		w.admit(p, m.submission, m.versions)
	case m.activationRequest != nil:
		w.receiveActivationRequest(p, m)
	case m.reply != nil:
		a := *m.reply
		a.Whole = w.merge(p, a.Records) && a.Whole
		p.activation.ReplyReceived(m.from.id, &a, m.requestedAt, t)
		if !p.slowToAdopt && w.choose(8) > 0 {
			p.adopted = p.adopted.Max(m.reply.Sender.Stamps.Versions())
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
	w.answerWaiters(p)
	return a
}

func (w *world) sender(p *worldProcess) lavenderridge.Sender {
	return lavenderridge.Sender{Instance: p.id, Incarnation: p.incarnation, Stamps: lavenderridge.Stamps{
		Catalogue:    lavenderridge.Stamp{Version: p.adopted.Catalogue},
		InstanceList: lavenderridge.Stamp{Version: p.adopted.InstanceList},
	}}
}

// receiveActivationRequest replies to an activation request. Mostly the process
// adopts the requester's versions first.
func (w *world) receiveActivationRequest(p *worldProcess, m *worldMessage) {
	if !p.slowToAdopt && w.choose(8) > 0 {
		p.adopted = p.adopted.Max(m.activationRequest.Versions)
		w.adopt(p)
	}
	r := p.activation.Reply(m.activationRequest, w.sender(p), w.clock(p))
	if r.Acknowledged && m.activationRequest.Gathering {
		h := p.activation.Membership()
		n := lavenderridge.ByteCount(min(1, w.choose(8)) << 16)
		if w.rules == (peer.Rules{}) {
			// A small size omits the responses of some records, and of
			// which ones differs from run to run. Seeds that must
			// reproduce a fault use a size for all records or for none.
			n = lavenderridge.ByteCount(w.choose(1 << 13))
		}
		if r.Records, r.Whole = p.ledger.Records(m.from.id, h.Home, n); n == 0 {
			r.Records = nil
		}
	}
	w.post(&worldMessage{from: p, to: m.from, reply: r, requestedAt: m.requestedAt})
}

// requestRandom sends an activation request to one other listed instance.
func (w *world) requestRandom() {
	if p := w.pick(running); p != nil {
		l := p.activation.Membership().Listed()
		w.requestFrom(p, l[w.choose(len(l))])
	}
}

// requestAll sends activation requests to all other listed instances.
func (w *world) requestAll(p *worldProcess) {
	for _, n := range p.activation.Membership().Listed() {
		w.requestFrom(p, n)
	}
}

func (w *world) requestFrom(p *worldProcess, n lavenderridge.InstanceID) {
	if n != p.id {
		w.post(&worldMessage{from: p, to: w.find(n), activationRequest: p.activation.Request(w.sender(p)), requestedAt: w.clock(p)})
	}
}

// adoptLater makes a process adopt a later version of one document.
func (w *world) adoptLater() {
	p := w.pick(running)
	if p == nil || p.slowToAdopt && w.choose(8) > 0 {
		return
	}
	v, n := w.latest(), p.adopted
	if w.choose(2) == 0 {
		n.Catalogue += lavenderridge.Version(w.choose(int(v.Catalogue-n.Catalogue) + 1))
	} else {
		n.InstanceList += lavenderridge.Version(w.choose(int(v.InstanceList-n.InstanceList) + 1))
	}
	p.adopted, p.slowToAdopt = n, p.slowToAdopt && w.choose(2) == 0
	w.adopt(p)
}

func (w *world) drop() {
	if n := len(w.inTransit); n > 0 {
		i := w.choose(n)
		w.inTransit = append(w.inTransit[:i], w.inTransit[i+1:]...)
	}
}

// duplicate copies a message in transit. A copied submission acts like a resend
// by the caller.
func (w *world) duplicate() {
	if n := len(w.inTransit); n > 0 && n < 60 {
		w.inTransit = append(w.inTransit, w.inTransit[w.choose(n)])
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
	old := w.catalogues[len(w.catalogues)-1]
	c := *old
	c.DataCentres = append([]lavenderridge.DataCentre(nil), old.DataCentres...)
	d := &c.DataCentres[w.choose(2)]
	if d.State == lavenderridge.InService {
		d.State = lavenderridge.OutOfService
	} else {
		d.State = lavenderridge.InService
	}
	w.catalogues = append(w.catalogues, &c)
}

func (w *world) kill() {
	if p := w.pick(func(p *worldProcess) bool { return p.up }); p != nil {
		p.up = false
	}
}

// restart starts a stopped process without records and from old versions.
func (w *world) restart() {
	if p := w.pick(func(p *worldProcess) bool { return !p.up }); p != nil {
		w.restartOne(p)
	}
}

// killAndRestart kills a process and immediately starts it again.
func (w *world) killAndRestart() {
	if p := w.pick(func(p *worldProcess) bool { return p.up }); p != nil {
		w.restartOne(p)
	}
}

// makeSlow makes a process slow to adopt versions.
func (w *world) makeSlow() {
	w.processes[w.choose(len(w.processes))].slowToAdopt = true
}

func (w *world) restartOne(p *worldProcess) {
	v := w.latest()
	o := lavenderridge.Versions{
		Catalogue:    max(1, v.Catalogue-lavenderridge.Version(w.choose(min(4, int(v.Catalogue))))),
		InstanceList: max(1, v.InstanceList-lavenderridge.Version(w.choose(min(4, int(v.InstanceList))))),
	}
	w.start(p, o)
}

func (w *world) pause() {
	if p := w.pick(running); p != nil {
		p.paused = true
	}
}

func (w *world) resume() {
	if p := w.pick(func(p *worldProcess) bool { return p.up && p.paused }); p != nil {
		p.paused = false
	}
}

// partition separates the fleet into two groups, or only two processes from each
// other. Messages between them are delayed.
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

// handOver makes a process send its records of keys with another home to that
// home.
func (w *world) handOver() {
	if p := w.pick(running); p != nil {
		w.handOverWithout(p, "")
	}
}

// handOverWithout sends the records of p whose keys have another home to that
// home. The instance x is disregarded when homes are determined.
func (w *world) handOverWithout(p *worldProcess, x lavenderridge.InstanceID) {
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

// stop is a planned shutdown: the ledger is handed over to the next homes.
func (w *world) stop() {
	if p := w.pick(running); p != nil {
		w.handOverWithout(p, p.id)
		p.up = false
	}
}

// stayIdle advances the clock without any other action.
func (w *world) stayIdle() {
	for range w.choose(40) {
		w.advance(10 * time.Millisecond)
	}
}

func (w *world) sweep() {
	if p := w.pick(running); p != nil {
		p.ledger.Sweep(w.clock(p))
	}
}

// dropRunning drops a process from the list while it runs behind a partition or is
// frozen, and may list it again later. Callers reach every daemon meanwhile.
func (w *world) dropRunning() {
	w.repair()
	x := w.pick(running)
	old := w.lists[len(w.lists)-1]
	w.isolate(x, nil)
	x.paused = w.choose(4) == 0
	l := &lavenderridge.InstanceList{}
	for _, n := range old.Instances {
		if n.ID != x.id {
			l.Instances = append(l.Instances, n)
		}
	}
	w.lists = append(w.lists, l)
	w.adoptAll(x)
	if y := w.pick(running); w.choose(2) == 0 && y != nil && y != x { // y restarts from an old list
		w.restartOne(y)
		w.isolate(x, y)
	}
	w.submitSeveral()
	if w.choose(2) == 0 {
		w.stayIdle()
		w.submitSeveral()
	}
	if w.choose(2) == 0 {
		w.readmit(x, old)
	}
}

// repair heals, restarts and lists all processes, so that all homes become active.
func (w *world) repair() {
	w.heal()
	for _, p := range w.processes {
		if p.paused = false; !p.up {
			w.restartOne(p)
		}
	}
	w.lists = append(w.lists, w.lists[0])
	w.adoptAll(nil)
	for range 8 {
		w.advance(50 * time.Millisecond)
	}
	w.submitSeveral()
}

// readmit lists x again. One other process is isolated and does not receive the
// list.
func (w *world) readmit(x *worldProcess, old *lavenderridge.InstanceList) {
	w.lists = append(w.lists, old)
	x.paused = false
	y := w.pick(func(p *worldProcess) bool { return running(p) && p != x })
	if y == nil {
		return
	}
	w.isolate(y, nil)
	w.adoptAll(y)
	w.submitSeveral()
}

// adoptAll makes most processes except x adopt the latest versions, and lets all
// exchange messages.
func (w *world) adoptAll(x *worldProcess) {
	for _, p := range w.processes {
		if running(p) && p != x && w.choose(8) > 0 {
			p.adopted = w.latest()
			w.adopt(p)
		}
	}
	for range 2 {
		for _, p := range w.processes {
			if running(p) {
				w.requestAll(p)
			}
		}
	}
}

// isolate separates x and y from the others.
func (w *world) isolate(x, y *worldProcess) {
	clear(w.cut)
	for _, p := range w.processes {
		for _, q := range w.processes {
			if (p == x || p == y) != (q == x || q == y) {
				w.cut[[2]*worldProcess{p, q}] = true
			}
		}
	}
}

// submitSeveral submits four new keys with pauses between them.
func (w *world) submitSeveral() {
	for range 4 {
		w.advance(time.Duration(w.choose(60)) * time.Millisecond)
		w.submit()
	}
}
