package peer_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing/synctest"
	"time"

	"github.com/lavenderridge/lavenderridge"
	daemonconfig "github.com/lavenderridge/lavenderridge/internal/daemon/configservice"
	"github.com/lavenderridge/lavenderridge/internal/daemon/peer"
	"github.com/lavenderridge/lavenderridge/internal/policy/backendserver"
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	peerpolicy "github.com/lavenderridge/lavenderridge/internal/policy/peer"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
	"github.com/lavenderridge/lavenderridge/internal/transport/confighttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/instancesjson"
)

// The one-way latencies of a link.
const (
	fastLink = time.Millisecond
	slowLink = 150 * time.Millisecond
)

var documents = []lavenderridge.DocumentName{lavenderridge.DocumentCatalogue, lavenderridge.DocumentInstanceList}

// fleet simulates the configuration part of several daemons, with a network and a
// source that can fail. It runs in a synctest bubble, where time is simulated.
type fleet struct {
	mutex  sync.Mutex
	random *rand.Rand
	nodes  []*node
	// faultProbability is the probability that a call has a fault.
	faultProbability float64
	// latency is the one-way latency of every link between daemons.
	latency time.Duration
	// pullDelays is the time that the reply to a pull of a document takes to arrive.
	pullDelays map[lavenderridge.DocumentName]time.Duration
	// cuts are the links that carry no calls, by linkKey.
	cuts       map[[2]int]bool
	sourceDown bool
	// oneWay are the directions, from one node to another, that carry nothing.
	oneWay map[[2]int]bool
	// sourceSlow is the time until the source reads what it responds, and sourceLate the
	// time that the response then takes. The share sourceLoss of the responses is lost.
	sourceSlow, sourceLate time.Duration
	sourceLoss             float64
	// catalogueReads counts the calls of each node for the catalogue.
	catalogueReads map[lavenderridge.InstanceID]int
	// stoppingClock makes the nodes' clocks stop while they are paused.
	stoppingClock bool
	// revocation is the plan by which the daemons keep proofs of their catalogue.
	revocation configservice.RevocationPlan
	// published holds the text of every version of a document, and good whether it is
	// valid.
	published map[lavenderridge.DocumentName][][]byte
	good      map[lavenderridge.DocumentName][]bool
	// faults counts the actions that may change which versions a node can reach.
	faults int
	// list contains every node.
	list lavenderridge.InstanceList
	// log holds the decisions since the last call of the method decisions.
	log []string
	// violation is the first invariant that did not hold.
	violation error
}

// node is one instance; its process can be killed, started and paused.
type node struct {
	fleet  *fleet
	index  int
	self   lavenderridge.Instance
	starts uint64
	// versionLimits are the highest versions that the node can read from the source, if
	// it lags.
	versionLimits map[lavenderridge.DocumentName]lavenderridge.Version
	pausedAt      time.Time
	// pullDelays are the times that replies to the node's pulls take to arrive, by the
	// index of the other node.
	pullDelays map[int]time.Duration
	// suspended is how long the pauses that have ended lasted.
	suspended time.Duration
	// resumed is closed at the end of the present pause; it is nil if there is none.
	resumed chan struct{}
	// proc is nil while the daemon is down.
	proc *process
}

// process is one run of a node's daemon.
type process struct {
	node          *node
	incarnation   lavenderridge.Incarnation
	store         *configservice.Store
	gate          *configservice.ReadinessGate
	neighbourhood *peerpolicy.Neighbourhood
	gossiper      *peer.Gossiper
	suspects      *backendserver.Suspects
	stop          context.CancelFunc
	done          sync.WaitGroup
	// highestSeen are the versions of the last snapshot that was checked.
	highestSeen lavenderridge.Versions
	// reachableAtStart are the highest versions of the nodes in reach when the process
	// started. They are compared only while the fleet's faults equal faultsAtStart.
	reachableAtStart lavenderridge.Versions
	faultsAtStart    int
	hasBeenReady     bool
	// proofs is nil without a revocation plan.
	proofs *daemonconfig.ProofTracker
}

func newFleet(n, dataCentres int, seed uint64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), cuts: map[[2]int]bool{}, oneWay: map[[2]int]bool{}, catalogueReads: map[lavenderridge.InstanceID]int{}, latency: fastLink, pullDelays: map[lavenderridge.DocumentName]time.Duration{},
		published: map[lavenderridge.DocumentName][][]byte{}, good: map[lavenderridge.DocumentName][]bool{},
	}
	for i := range n {
		v := lavenderridge.Instance{
			ID: lavenderridge.InstanceID(fmt.Sprintf("n%d", i)), DataCentre: lavenderridge.DataCentreID(fmt.Sprintf("d%d", i%dataCentres)),
			Service: "roster", Peer: lavenderridge.Address(fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1)), State: lavenderridge.InstanceLive,
		}
		f.list.Instances = append(f.list.Instances, v)
		f.nodes = append(f.nodes, &node{fleet: f, index: i, self: v, versionLimits: map[lavenderridge.DocumentName]lavenderridge.Version{}})
	}
	f.publishList(-1, false)
	f.publishCatalogue(true)
	return f
}

const fleetCatalogue = `
[[DataCentres]]
ID = "d0"
Region = "r"
State = "InService"
[[Services]]
ID = "roster"
Slots = 10
Connections = 130
Queue = 20
[[Entries]]
ID = "roster"
Owner = "courses"
Class = "Normal"
Service = "%s"
PathPrefix = "/"
Timeout = "%dms"
`

// publishCatalogue publishes a catalogue, which is invalid unless good is true.
func (f *fleet) publishCatalogue(good bool) {
	s := "roster"
	if !good {
		s = "lost"
	}
	f.publish(lavenderridge.DocumentCatalogue, fmt.Appendf(nil, fleetCatalogue, s, 1+len(f.published[lavenderridge.DocumentCatalogue])), good)
}

// publishList publishes the instance list, with the instance i leaving or removed. If
// i is negative, it contains every node unchanged.
func (f *fleet) publishList(i int, removed bool) {
	l := lavenderridge.InstanceList{Instances: append([]lavenderridge.Instance(nil), f.list.Instances...)}
	if i >= 0 && removed {
		l.Instances = append(l.Instances[:i], l.Instances[i+1:]...)
	} else if i >= 0 {
		l.Instances[i].State = lavenderridge.InstanceLeaving
	}
	b, e := instancesjson.Format(&l)
	if e != nil {
		panic(e)
	}
	f.publish(lavenderridge.DocumentInstanceList, b, true)
}

func (f *fleet) publish(d lavenderridge.DocumentName, b []byte, good bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.published[d] = append(f.published[d], b)
	f.good[d] = append(f.good[d], good)
}

// expectedVersion returns the version of d that all daemons must reach: the latest
// one, or if that is invalid, the highest that any listed daemon has accepted. The
// source holds no earlier versions, and daemons pull only from listed ones.
func (f *fleet) expectedVersion(d lavenderridge.DocumentName) lavenderridge.Version {
	i := len(f.good[d]) - 1
	if f.good[d][i] {
		return lavenderridge.Version(i + 1)
	}
	var v lavenderridge.Version
	l := f.latestList()
	for _, n := range f.nodes {
		if n.proc != nil && l.Instance(n.self.ID) != nil {
			v = max(v, n.proc.store.Acceptance(d).Stamp.Version)
		}
	}
	return v
}

// latestList returns the membership of the latest instance list.
func (f *fleet) latestList() *peerpolicy.Membership {
	a := f.published[lavenderridge.DocumentInstanceList]
	l, e := confighttp.Parser{}.ParseInstanceList(a[len(a)-1])
	if e != nil {
		panic(e)
	}
	return peerpolicy.NewMembership(l)
}

// Now implements lavenderridge.Clock. It returns the time of the pause while the node
// is paused.
func (n *node) Now() time.Time {
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	if n.resumed != nil {
		return n.pausedAt
	}
	return time.Now()
}

// waitWhilePaused blocks while the node is paused.
func (n *node) waitWhilePaused() {
	n.fleet.mutex.Lock()
	r := n.resumed
	n.fleet.mutex.Unlock()
	if r != nil {
		<-r
	}
}

// Read implements lavenderridge.ConfigService.
func (n *node) Read(c context.Context, d lavenderridge.DocumentName, v lavenderridge.Version, w time.Duration) (*lavenderridge.Document, error) {
	slow, late, lost := n.fleet.drawSourceFault()
	n.countRead(d)
	time.Sleep(slow)
	p, e := n.readSource(c, d, v, w)
	time.Sleep(late)
	n.waitWhilePaused()
	if lost {
		return nil, errors.New("response lost")
	}
	return p, e
}

// countRead counts a call for the document d.
func (n *node) countRead(d lavenderridge.DocumentName) {
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	if d == lavenderridge.DocumentCatalogue {
		n.fleet.catalogueReads[n.self.ID]++
	}
}

// drawSourceFault returns the delays of a response of the source, and whether it is lost.
func (f *fleet) drawSourceFault() (slow, late time.Duration, lost bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.sourceSlow, f.sourceLate, f.sourceLoss > 0 && f.random.Float64() < f.sourceLoss
}

// readSource reads the source until it has a version of d newer than v, but at most for w.
func (n *node) readSource(c context.Context, d lavenderridge.DocumentName, v lavenderridge.Version, w time.Duration) (*lavenderridge.Document, error) {
	for t := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		time.Sleep(fastLink)
		n.waitWhilePaused()
		if e := c.Err(); e != nil {
			return nil, e
		}
		p, e := n.readPublished(d, v)
		if p != nil || e != nil || time.Since(t) >= w {
			return p, e
		}
	}
}

// readPublished returns the latest version of d that the node can read, or nil if it
// is not higher than v.
func (n *node) readPublished(d lavenderridge.DocumentName, v lavenderridge.Version) (*lavenderridge.Document, error) {
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	if n.fleet.sourceDown {
		return nil, errors.New("source down")
	}
	h := lavenderridge.Version(len(n.fleet.published[d]))
	if s := n.versionLimits[d]; s > 0 {
		h = min(h, s)
	}
	if h <= v {
		return nil, nil
	}
	return &lavenderridge.Document{Name: d, Version: h, Body: n.fleet.published[d][h-1]}, nil
}

// launch starts the node's daemon without any documents.
func (n *node) launch() {
	n.starts++
	c, f := context.WithCancel(context.Background())
	p := &process{node: n, incarnation: lavenderridge.Incarnation(n.starts), stop: f, store: configservice.NewStore(canonicalcbor.NewCodec()), suspects: backendserver.NewSuspects()}
	t := n.Now()
	p.gate, p.neighbourhood = configservice.NewReadinessGate(t), peerpolicy.NewNeighbourhood(n.self.ID, n.self.DataCentre)
	s := configservice.NewSourceContact(t)
	a := daemonconfig.NewAcceptor(p.store, confighttp.Parser{}, n, p, testLogger)
	if n.fleet.revocation.Enabled() {
		p.proofs = daemonconfig.NewProofTracker(n.fleet.revocation, p.store, steadyClock{n})
	}
	p.gossiper = peer.NewGossiper(p.sender, p.store, a, p.gate, s, p.neighbourhood, dialer{n}, n, peer.WithAddress(n.self.Peer), peer.WithRecorder(p), peer.WithProofs(p.proofs), peer.WithSuspects(p.suspects))
	r := daemonconfig.NewReader(n, p.store, a, p.gate, s, n, n.self.ID, n.self.DataCentre, daemonconfig.WithHeardFollowing(s.HeardFollowing), daemonconfig.WithFleetSize(500), daemonconfig.WithReaderProofs(p.proofs))
	n.fleet.mutex.Lock()
	p.reachableAtStart, p.faultsAtStart = n.fleet.versionsInReach(n), n.fleet.faults
	n.proc = p
	n.fleet.mutex.Unlock()
	p.done.Go(func() { _ = r.Run(c) })
	p.done.Go(func() { _ = p.gossiper.Run(c) })
}

// kill ends the node's daemon and waits for it.
func (n *node) kill() {
	n.fleet.mutex.Lock()
	p := n.proc
	n.proc = nil
	n.fleet.mutex.Unlock()
	n.unpause()
	if p != nil {
		p.stop()
		p.done.Wait()
	}
}

func (n *node) pause() {
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	if n.resumed == nil && n.proc != nil {
		n.pausedAt, n.resumed = time.Now(), make(chan struct{})
	}
}

// unpause ends a pause of the node and returns how long it lasted.
func (n *node) unpause() time.Duration {
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	if n.resumed == nil {
		return 0
	}
	close(n.resumed)
	n.resumed = nil
	n.suspended += time.Since(n.pausedAt)
	return time.Since(n.pausedAt)
}

// Record implements lavenderridge.Recorder.
func (p *process) Record(d lavenderridge.Decision) {
	p.node.fleet.mutex.Lock()
	defer p.node.fleet.mutex.Unlock()
	p.node.fleet.log = append(p.node.fleet.log, fmt.Sprintf("%s.%d %s %s", p.node.self.ID, p.incarnation, d.Event, d.Subject))
}

func (p *process) sender() lavenderridge.Sender {
	s := lavenderridge.Sender{Instance: p.node.self.ID, DataCentre: p.node.self.DataCentre, Incarnation: p.incarnation}
	if n := p.store.Snapshot(); n != nil {
		s.Stamps = n.Stamps
	}
	return s
}

func (p *process) versions() lavenderridge.Versions {
	return p.sender().Stamps.Versions()
}

// isReady reports whether the daemon accepts work, by the same rule as
// daemon/assembly.
func (p *process) isReady() bool {
	s := p.store.Snapshot()
	return s != nil && p.gate.Ready(s.Versions(), p.node.Now()) == nil
}

// versionsInReach returns the highest versions of the nodes that n can reach.
func (f *fleet) versionsInReach(n *node) lavenderridge.Versions {
	var v lavenderridge.Versions
	for _, m := range f.nodes {
		if m != n && m.proc != nil && m.resumed == nil && !f.cuts[linkKey(n.index, m.index)] {
			v = v.Max(m.proc.versions())
		}
	}
	return v
}

// linkKey returns the key of the link between the nodes a and b.
func linkKey(a, b int) [2]int {
	return [2]int{min(a, b), max(a, b)}
}

// dialer reaches the other nodes of a fleet from one node.
type dialer struct{ from *node }

func (d dialer) Dial(n *lavenderridge.Instance) lavenderridge.Peer {
	for _, m := range d.from.fleet.nodes {
		if m.self.ID == n.ID {
			return &remote{from: d.from, to: m}
		}
	}
	panic("unknown instance " + n.ID)
}

// remote is the connection of one node to another. Requests and replies may be lost,
// and calls may run twice or after the caller's timeout.
type remote struct {
	lavenderridge.Peer
	from, to *node
}

func (r *remote) Exchange(c context.Context, q *lavenderridge.Exchange) (*lavenderridge.Exchange, error) {
	return callRemote(c, r, func(p *process) (*lavenderridge.Exchange, error) { return p.gossiper.Exchange(c, q) })
}

func (r *remote) Pull(c context.Context, q *lavenderridge.PullRequest) (*lavenderridge.PullReply, error) {
	p, e := callRemote(c, r, func(p *process) (*lavenderridge.PullReply, error) { return p.gossiper.Pull(c, q) })
	if x := lavenderridge.Sleep(c, r.from.fleet.pullDelays[q.Name]+r.from.pullDelays[r.to.index]); x != nil {
		return nil, x
	}
	return p, e
}

// callRemote calls f at the process of r. It returns when the reply arrives or c ends,
// but not while the calling node is paused.
func callRemote[V any](c context.Context, r *remote, f func(*process) (*V, error)) (*V, error) {
	k := make(chan *V, 1)
	go func() { k <- deliver(r, f) }()
	select {
	case <-c.Done():
		r.from.waitWhilePaused()
		return nil, c.Err()
	case v := <-k:
		r.from.waitWhilePaused()
		if v == nil {
			return nil, errors.New("refused")
		}
		return v, nil
	}
}

// The kinds of faults of a call: the request or the reply is lost, or the call runs
// twice or late.
const (
	faultNone = iota
	faultRequest
	faultReply
	faultTwice
	faultLate
	faultKinds
)

// drawFault returns the kind of fault of the next call, the delay for faultLate, and
// the latency of the link.
func (f *fleet) drawFault() (k int, late, latency time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.random.Float64() >= f.faultProbability {
		return faultNone, 0, f.latency
	}
	return 1 + f.random.IntN(faultKinds-1), time.Duration(f.random.Int64N(int64(3 * time.Second))), f.latency
}

// deliver calls f and returns its reply, or nil if the call or its reply is lost or
// the process is down. A lost call lasts longer than the timeout of any caller.
func deliver[V any](r *remote, f func(*process) (*V, error)) *V {
	const lost = 4 * time.Second
	k, d, latency := r.from.fleet.drawFault()
	time.Sleep(latency)
	r.from.waitWhilePaused()
	r.from.fleet.mutex.Lock()
	cut := r.from.fleet.cuts[linkKey(r.from.index, r.to.index)] || r.from.fleet.oneWay[[2]int{r.from.index, r.to.index}]
	cutBack := r.from.fleet.oneWay[[2]int{r.to.index, r.from.index}]
	r.from.fleet.mutex.Unlock()
	if cut || k == faultRequest {
		time.Sleep(lost)
		return nil
	}
	if k == faultLate {
		time.Sleep(d)
	}
	r.to.waitWhilePaused()
	r.to.fleet.mutex.Lock()
	p := r.to.proc
	r.to.fleet.mutex.Unlock()
	if p == nil {
		return nil
	}
	v, _ := f(p)
	if k == faultTwice {
		v, _ = f(p)
	}
	if k == faultReply || cutBack {
		time.Sleep(lost)
	}
	time.Sleep(latency)
	return v
}

// run lets the time d pass and checks the invariants every 20 ms.
func (f *fleet) run(d time.Duration) {
	for t := time.Now(); time.Since(t) < d && f.violation == nil; {
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		f.check()
	}
}

// check checks the invariants of every process.
func (f *fleet) check() {
	for _, n := range f.nodes {
		if n.proc != nil && f.violation == nil {
			f.violation = n.proc.check()
		}
	}
}

// check compares one process with the oracle: its versions do not decrease, its
// snapshot is the published one, and when it first becomes ready after a restart it
// has the versions that were in reach.
func (p *process) check() error {
	s := p.store.Snapshot()
	if s == nil {
		return nil
	}
	v := s.Versions()
	if !v.Covers(p.highestSeen) {
		return fmt.Errorf("%s: versions decreased from %v to %v", p.node.self.ID, p.highestSeen, v)
	}
	if v != p.highestSeen {
		if e := p.node.fleet.checkSnapshot(s); e != nil {
			return fmt.Errorf("%s: %w", p.node.self.ID, e)
		}
	}
	p.highestSeen = v
	if p.node.resumed == nil && !p.hasBeenReady && p.isReady() {
		p.hasBeenReady = true
		if p.faultsAtStart == p.node.fleet.faults && p.node.fleet.faultProbability == 0 && !v.Covers(p.reachableAtStart) {
			return fmt.Errorf("%s: ready with versions %v after a restart; nodes in reach had %v", p.node.self.ID, v, p.reachableAtStart)
		}
	}
	return nil
}

// checkSnapshot compares a snapshot with the documents that were published with its
// versions.
func (f *fleet) checkSnapshot(s *lavenderridge.Snapshot) error {
	k := canonicalcbor.NewCodec()
	a, i := s.Versions().Catalogue, s.Versions().InstanceList
	if !f.good[lavenderridge.DocumentCatalogue][a-1] {
		return fmt.Errorf("invalid catalogue %d accepted", a)
	}
	c, _ := confighttp.Parser{}.ParseCatalogue(f.published[lavenderridge.DocumentCatalogue][a-1])
	l, _ := confighttp.Parser{}.ParseInstanceList(f.published[lavenderridge.DocumentInstanceList][i-1])
	x, _ := k.EncodeCatalogue(c)
	y, _ := k.EncodeCatalogue(s.Catalogue)
	z, _ := k.EncodeInstanceList(l)
	w, _ := k.EncodeInstanceList(s.List)
	if !bytes.Equal(x, y) || !bytes.Equal(z, w) {
		return fmt.Errorf("snapshot with versions %v differs from the published documents", s.Versions())
	}
	for _, e := range s.Catalogue.Entries {
		if s.Service(e.Service) == nil {
			return fmt.Errorf("entry %s has an unknown service", e.ID)
		}
	}
	return nil
}

// heal ends every fault and starts the daemons that are down.
func (f *fleet) heal() {
	f.mutex.Lock()
	f.faultProbability, f.sourceDown, f.latency = 0, false, fastLink
	f.faults++
	clear(f.cuts)
	for _, n := range f.nodes {
		clear(n.versionLimits)
	}
	f.mutex.Unlock()
	for _, n := range f.nodes {
		n.unpause()
		if n.proc == nil {
			n.launch()
		}
	}
}

// converged returns an error unless every daemon has the expected versions and is
// ready. A daemon that is not listed may have a later version, which it accepted before
// the latest one was published, since no other daemon pulls from it.
func (f *fleet) converged() error {
	l := f.latestList()
	for _, n := range f.nodes {
		for _, d := range documents {
			v, h := n.proc.store.Acceptance(d).Stamp.Version, f.expectedVersion(d)
			if v < h || v > h && l.Instance(n.self.ID) != nil {
				return fmt.Errorf("%s: accepted %s %d; want %d", n.self.ID, d, v, h)
			}
		}
		if n.proc.store.Snapshot() != nil && !n.proc.isReady() {
			return fmt.Errorf("%s: not ready", n.self.ID)
		}
	}
	return nil
}

// close stops every daemon and waits until lost and late calls have ended.
func (f *fleet) close() {
	f.heal()
	for _, n := range f.nodes {
		n.kill()
	}
	time.Sleep(time.Minute)
}
