package caller_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lavenderridge/lavenderridge"
	"github.com/lavenderridge/lavenderridge/internal/policy/caller"
	"github.com/lavenderridge/lavenderridge/internal/policy/peer"
)

const (
	// linkDelay is the longest time that a message takes in one direction.
	linkDelay = 2 * time.Millisecond
	// askTimeout and maxQuotaWait are those of the daemon.
	askTimeout   = 200 * time.Millisecond
	maxQuotaWait = 500 * time.Millisecond
	// listLag is the longest time until a daemon knows a new instance list.
	listLag = time.Second
	// calmAge is the age of the newest word of the source at a daemon in touch.
	calmAge = 1500 * time.Millisecond
	// wantBytes and callBytes estimate a request and its reply on the wire: HTTP/2 and
	// TLS frames and two TCP and IP headers, and the fields for each customer.
	callBytes = 241
	wantBytes = 20
)

// quotaWorld is a fleet in simulated time that runs the decisions about quotas without
// a network.
type quotaWorld struct {
	now       time.Time
	start     time.Time
	random    *rand.Rand
	bounds    peer.QuotaBounds
	events    eventHeap
	sequence  int
	daemons   []*quotaDaemon
	customers []*quotaCustomer
	catalogue *lavenderridge.Catalogue
	list      *lavenderridge.InstanceList
	cut       func(a, b *quotaDaemon) bool // whether messages from a to b are lost
	design    string                       // "" for homes; the others were weighed against them
	failing   float64                      // share of the admitted requests that are refused later
	calls     int
	wants     int
}

type quotaCustomer struct {
	id      lavenderridge.CustomerID
	quota   lavenderridge.Quota
	demand  float64
	weights []float64
	ran     []time.Time
	ideal   float64 // level of an ideal bucket
	at      time.Time
	owed    int
	offered int
}

type quotaDaemon struct {
	world    *quotaWorld
	index    int
	id       lavenderridge.InstanceID
	born     time.Time
	life     int
	snapshot *lavenderridge.Snapshot
	ledger   *peer.LoanLedger
	accounts map[*quotaCustomer]*simAccount
	soon     []*simAccount
	down     bool
	frozen   bool
	cutSince time.Time
	mail     []func()
	// lost is the time for which the daemon's clock has stood still.
	lost time.Duration
}

type simAccount struct {
	daemon  *quotaDaemon
	account *caller.QuotaAccount
	asking  bool
	queued  bool
	waiting []*simRequest
	// level and at are the bucket of a design without homes.
	level float64
	at    time.Time
}

type simRequest struct {
	customer *quotaCustomer
	until    time.Time
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(v any)   { *h = append(*h, v.(event)) }
func (h *eventHeap) Pop() any {
	v := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return v
}

// newQuotaWorld returns n daemons and m customers whose sizes fall off as a power of
// their rank. All customers together send r requests a second to one daemon on average,
// and the quota of each is x times what it sends.
func newQuotaWorld(seed uint64, n, m int, r, x float64) *quotaWorld {
	w := &quotaWorld{
		start: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), bounds: peer.DefaultQuotaBounds(),
		cut: func(*quotaDaemon, *quotaDaemon) bool { return false },
	}
	w.now = w.start
	var s float64
	for i := range m {
		s += 1 / float64(i+2)
	}
	for i := range m {
		d := r * float64(n) / float64(i+2) / s
		w.customers = append(w.customers, &quotaCustomer{
			id: lavenderridge.CustomerID(fmt.Sprintf("customer-%03d", i)), demand: d, at: w.now,
			quota: lavenderridge.Quota{Rate: lavenderridge.Rate(math.Ceil(d * x)), Burst: lavenderridge.Requests(math.Ceil(d * x))},
		})
	}
	w.publish()
	w.list = &lavenderridge.InstanceList{}
	for i := range n {
		w.list.Instances = append(w.list.Instances, lavenderridge.Instance{ID: lavenderridge.InstanceID(fmt.Sprintf("instance-%04d", i)), State: lavenderridge.InstanceLive})
	}
	for i := range n {
		d := &quotaDaemon{world: w, index: i, id: w.list.Instances[i].ID}
		w.daemons = append(w.daemons, d)
		d.boot()
	}
	return w
}

// publish makes a catalogue with the quotas of the customers.
func (w *quotaWorld) publish() {
	w.catalogue = &lavenderridge.Catalogue{}
	for _, c := range w.customers {
		w.catalogue.Customers = append(w.catalogue.Customers, lavenderridge.Customer{ID: c.id, Quota: c.quota})
	}
}

func (w *quotaWorld) at(t time.Time, f func()) {
	w.sequence++
	heap.Push(&w.events, event{at: t, sequence: w.sequence, run: f})
}

func (w *quotaWorld) after(d time.Duration, f func()) { w.at(w.now.Add(d), f) }

func (w *quotaWorld) run(d time.Duration) {
	end := w.start.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		v := heap.Pop(&w.events).(event)
		w.now = v.at
		v.run()
	}
	w.now = end
}

// send lets a customer send its demand, times x, to the daemons by their weights until
// the time t.
func (w *quotaWorld) send(c *quotaCustomer, weights []float64, x float64, t time.Time) {
	d := time.Duration(w.random.ExpFloat64() / (c.demand * x) * float64(time.Second))
	w.after(d, func() {
		if w.now.After(t) {
			return
		}
		w.send(c, weights, x, t)
		if n := w.daemons[pick(w.random.Float64(), weights)]; !n.down && !n.frozen {
			c.offer(w.now)
			n.request(c)
		}
	})
}

// offer counts a request, and whether one account for the whole fleet would admit it.
func (c *quotaCustomer) offer(t time.Time) {
	c.offered++
	c.ideal = min(c.ideal+t.Sub(c.at).Seconds()*float64(c.quota.Rate), float64(c.quota.Burst))
	c.at = t
	if c.ideal >= 1 {
		c.ideal--
		c.owed++
	}
}

func pick(x float64, weights []float64) int {
	for i, v := range weights {
		if x -= v; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// weights returns the parts of the daemons in one customer's demand: equal parts, or
// parts that fall off as a power p of a drawn rank.
func (w *quotaWorld) weights(p float64) []float64 {
	a := make([]float64, len(w.daemons))
	var s float64
	for i, r := range w.random.Perm(len(a)) {
		a[i] = math.Pow(float64(r+1), -p)
		s += a[i]
	}
	for i := range a {
		a[i] /= s
	}
	return a
}

// now returns the time on the daemon's clock.
func (d *quotaDaemon) now() time.Time { return d.world.now.Add(-d.lost) }

func (d *quotaDaemon) boot() {
	w := d.world
	d.born, d.down, d.frozen = d.now(), false, false
	d.life++
	d.ledger = peer.NewLoanLedger(d.id, w.bounds)
	d.accounts = map[*quotaCustomer]*simAccount{}
	d.soon, d.mail = nil, nil
	d.adopt()
	d.tick(d.life)
}

func (d *quotaDaemon) adopt() {
	d.snapshot = lavenderridge.NewSnapshot(d.world.catalogue, d.world.list, lavenderridge.Stamps{}, d.now())
	d.ledger.Observe(d.snapshot.List, d.now())
}

// tick asks for what the daemon owes.
func (d *quotaDaemon) tick(life int) {
	d.world.after(peer.LoanAskDelay, func() {
		if d.life != life {
			return
		}
		d.tick(life)
		if d.down || d.frozen {
			return
		}
		a := d.soon
		d.soon = nil
		for _, v := range a {
			v.queued = false
		}
		d.ask(a)
	})
}

func (d *quotaDaemon) age() time.Duration {
	if d.cutSince.IsZero() {
		return calmAge
	}
	return calmAge + d.world.now.Sub(d.cutSince)
}

func (d *quotaDaemon) request(c *quotaCustomer) {
	a := d.accounts[c]
	if a == nil {
		a = &simAccount{daemon: d, account: caller.NewQuotaAccount(c.id, d.id, d.world.bounds, d.born)}
		d.accounts[c] = a
	}
	if d.world.design != "" {
		a.admitAlone(c)
		return
	}
	a.account.Update(d.snapshot.Customer(c.id).Quota, d.snapshot.List, d.now())
	a.account.Arrive()
	r := &simRequest{customer: c, until: d.world.now.Add(maxQuotaWait)}
	if !a.admit(r) {
		a.account.Wait()
		a.waiting = append(a.waiting, r)
	}
	a.check()
}

// admit reports whether the request r needs no further wait.
func (a *simAccount) admit(r *simRequest) bool {
	w := a.daemon.world
	u, _, v := a.account.Take(a.daemon.now())
	switch v {
	case caller.QuotaAdmitted:
		if w.random.Float64() < w.failing {
			a.account.GiveBack(u, a.daemon.now())
		} else {
			r.customer.ran = append(r.customer.ran, w.now)
		}
		return true
	case caller.QuotaExceeded, caller.QuotaUnreachable:
		return true
	default:
		return w.now.After(r.until)
	}
}

// admitAlone admits a request out of a fixed part of the quota: an equal one, or the part
// that the daemon has in the customer's demand, as if it were known exactly.
func (a *simAccount) admitAlone(c *quotaCustomer) {
	w := a.daemon.world
	x := 1 / float64(len(w.daemons))
	if w.design == "demand" {
		x = c.weights[a.daemon.index]
	}
	m := x * (w.bounds.Most(c.quota) - float64(c.quota.Rate)*w.bounds.Window.Seconds())
	if a.at.IsZero() {
		a.level, a.at = m, w.now
	}
	a.level = min(a.level+w.now.Sub(a.at).Seconds()*x*float64(c.quota.Rate), m)
	a.at = w.now
	if a.level >= 1 {
		a.level--
		c.ran = append(c.ran, w.now)
	}
}

// wake lets the waiting requests try again.
func (a *simAccount) wake() {
	p := a.waiting
	a.waiting = nil
	for _, r := range p {
		if a.admit(r) {
			a.account.Leave()
		} else {
			a.waiting = append(a.waiting, r)
		}
	}
	a.check()
}

// check queues a question if the account needs one.
func (a *simAccount) check() {
	if a.asking {
		return
	}
	switch a.account.Need(a.daemon.now()) {
	case caller.QuotaNeedNow:
		a.daemon.ask(append([]*simAccount{a}, a.daemon.soon...))
	case caller.QuotaNeedSoon:
		if !a.queued {
			a.queued = true
			a.daemon.soon = append(a.daemon.soon, a)
		}
	}
}

type simQuestion struct {
	account *simAccount
	ask     *caller.QuotaAsk
}

// ask sends the questions of the accounts, one message to each home.
func (d *quotaDaemon) ask(a []*simAccount) {
	m := map[lavenderridge.InstanceID][]simQuestion{}
	var order []lavenderridge.InstanceID
	for _, v := range a {
		if v.asking {
			continue
		}
		q := v.account.Ask(d.now())
		if q == nil {
			continue
		}
		v.asking = true
		if m[q.Home.ID] == nil {
			order = append(order, q.Home.ID)
		}
		m[q.Home.ID] = append(m[q.Home.ID], simQuestion{account: v, ask: q})
	}
	for _, n := range order {
		d.call(n, m[n])
	}
}

func (d *quotaDaemon) call(n lavenderridge.InstanceID, a []simQuestion) {
	w := d.world
	h := w.daemon(n)
	life, done := d.life, false
	finish := func(p *lavenderridge.Loan) {
		if done || d.life != life || d.down {
			return
		}
		done = true
		for i, v := range a {
			v.account.asking = false
			if p == nil {
				v.account.account.Fail(v.ask, d.now())
			} else {
				v.account.account.Answer(v.ask, p.Grants[i], d.now())
			}
			v.account.wake()
		}
	}
	w.after(askTimeout, func() { d.receive(func() { finish(nil) }) })
	if h != d {
		w.calls++
		w.wants += len(a)
	}
	q := &lavenderridge.LoanRequest{}
	for _, v := range a {
		q.Wants = append(q.Wants, v.ask.Want)
	}
	w.carry(d, h, func() {
		p := h.ledger.Lend(h.snapshot, q, h.age(), h.now())
		w.carry(h, d, func() { finish(p) })
	})
}

// carry runs f at the daemon b when a message from a arrives there.
func (w *quotaWorld) carry(a, b *quotaDaemon, f func()) {
	if a == b {
		f()
		return
	}
	if w.cut(a, b) {
		return
	}
	life := b.life
	w.after(time.Duration(w.random.Int64N(int64(linkDelay))), func() {
		if b.life == life && !b.down {
			b.receive(f)
		}
	})
}

// receive runs f, or keeps it until the process runs again.
func (d *quotaDaemon) receive(f func()) {
	if d.frozen {
		d.mail = append(d.mail, f)
		return
	}
	f()
}

func (w *quotaWorld) daemon(n lavenderridge.InstanceID) *quotaDaemon {
	i, _ := slices.BinarySearchFunc(w.daemons, n, func(d *quotaDaemon, n lavenderridge.InstanceID) int {
		if d.id < n {
			return -1
		}
		if d.id > n {
			return 1
		}
		return 0
	})
	return w.daemons[i]
}

// relist publishes the instances that listed returns true for. Each daemon in touch
// learns of it after some time.
func (w *quotaWorld) relist(listed func(d *quotaDaemon) bool) {
	l := &lavenderridge.InstanceList{}
	for _, d := range w.daemons {
		if listed(d) {
			l.Instances = append(l.Instances, lavenderridge.Instance{ID: d.id, State: lavenderridge.InstanceLive})
		}
	}
	w.list = l
	w.spread()
}

// spread brings the current documents to the daemons in touch.
func (w *quotaWorld) spread() {
	for _, d := range w.daemons {
		w.after(time.Duration(w.random.Int64N(int64(listLag))), func() {
			if !d.down && d.cutSince.IsZero() {
				d.receive(d.adopt)
			}
		})
	}
}

// worst returns the largest part of its bound that a customer has used in a window that
// ends after t.
func (w *quotaWorld) worst(t time.Time) float64 {
	var x float64
	for _, c := range w.customers {
		i := 0
		for j, v := range c.ran {
			for v.Sub(c.ran[i]) > w.bounds.Window {
				i++
			}
			if v.After(t) {
				x = max(x, float64(j-i+1)/w.bounds.Most(c.quota))
			}
		}
	}
	return x
}

// lost returns the part that was refused of what one account for the whole fleet would
// have admitted.
func (w *quotaWorld) lost() float64 {
	var a, b float64
	for _, c := range w.customers {
		a += float64(c.owed)
		b += min(float64(len(c.ran)), float64(c.owed))
	}
	return 1 - b/a
}
