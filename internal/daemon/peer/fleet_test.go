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
	"github.com/lavenderridge/lavenderridge/internal/policy/configservice"
	peerpolicy "github.com/lavenderridge/lavenderridge/internal/policy/peer"
	"github.com/lavenderridge/lavenderridge/internal/transport/canonicalcbor"
	"github.com/lavenderridge/lavenderridge/internal/transport/confighttp"
	"github.com/lavenderridge/lavenderridge/internal/transport/instancesjson"
)

// The latencies of a link, each way.
const (
	fastLink = time.Millisecond
	slowLink = 150 * time.Millisecond
)

var documents = []lavenderridge.DocumentName{lavenderridge.DocumentCatalogue, lavenderridge.DocumentInstanceList}

// fleet is several daemons' configuration parts with a network and a source
// that can fail. It runs in a synctest bubble, where time is not real.
type fleet struct {
	mutex  sync.Mutex
	random *rand.Rand
	nodes  []*node
	// lossy is the part of calls that go wrong.
	lossy float64
	// latency is that of every link between daemons.
	latency time.Duration
	cuts    map[[2]int]bool
	down    bool
	// published holds every version of a document; good those without faults.
	published map[lavenderridge.DocumentName][][]byte
	good      map[lavenderridge.DocumentName][]bool
	// faults counts the actions that change what is reachable.
	faults int
	list   lavenderridge.InstanceList
	log    []string
	broken error
}

// node is one instance; its process can be killed, started and paused.
type node struct {
	fleet  *fleet
	index  int
	self   lavenderridge.Instance
	start  uint64
	stale  map[lavenderridge.DocumentName]lavenderridge.Version
	frozen time.Time
	resume chan struct{}
	proc   *process
}

// process is one run of a node's daemon.
type process struct {
	node          *node
	incarnation   lavenderridge.Incarnation
	store         *configservice.Store
	gate          *configservice.ReadinessGate
	neighbourhood *peerpolicy.Neighbourhood
	spreader      *peer.Spreader
	stop          context.CancelFunc
	done          sync.WaitGroup
	// seen are the highest versions seen in force.
	seen lavenderridge.Versions
	// want are those that reachable neighbours had when the process started,
	// as long as no fault came after calm.
	want  lavenderridge.Versions
	calm  int
	ready bool
}

func newFleet(n, dataCentres int, seed uint64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), cuts: map[[2]int]bool{}, latency: fastLink,
		published: map[lavenderridge.DocumentName][][]byte{}, good: map[lavenderridge.DocumentName][]bool{},
	}
	for i := range n {
		v := lavenderridge.Instance{
			ID: lavenderridge.InstanceID(fmt.Sprintf("n%d", i)), DataCentre: lavenderridge.DataCentreID(fmt.Sprintf("d%d", i%dataCentres)),
			Service: "roster", Peer: lavenderridge.Address(fmt.Sprintf("10.0.0.%d:1", i+1)), State: lavenderridge.InstanceLive,
		}
		f.list.Instances = append(f.list.Instances, v)
		f.nodes = append(f.nodes, &node{fleet: f, index: i, self: v, stale: map[lavenderridge.DocumentName]lavenderridge.Version{}})
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

func (f *fleet) publishCatalogue(good bool) {
	s := "roster"
	if !good {
		s = "lost"
	}
	f.publish(lavenderridge.DocumentCatalogue, fmt.Appendf(nil, fleetCatalogue, s, 1+len(f.published[lavenderridge.DocumentCatalogue])), good)
}

// publishList publishes the list with the instance i leaving or left out.
func (f *fleet) publishList(i int, out bool) {
	l := lavenderridge.InstanceList{Instances: append([]lavenderridge.Instance(nil), f.list.Instances...)}
	if i >= 0 && out {
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

// highest returns the version of d that all are to reach: the latest one, or
// when that has faults, the highest that any daemon still has in force. The
// source holds no earlier versions.
func (f *fleet) highest(d lavenderridge.DocumentName) lavenderridge.Version {
	i := len(f.good[d]) - 1
	if f.good[d][i] {
		return lavenderridge.Version(i + 1)
	}
	var v lavenderridge.Version
	for _, n := range f.nodes {
		if n.proc != nil {
			v = max(v, n.proc.store.Acceptance(d).Stamp.Version)
		}
	}
	return v
}

// Now implements lavenderridge.Clock. The clock of a paused node stands still.
func (n *node) Now() time.Time {
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	if n.resume != nil {
		return n.frozen
	}
	return time.Now()
}

// wait blocks while the node is paused.
func (n *node) wait() {
	n.fleet.mutex.Lock()
	r := n.resume
	n.fleet.mutex.Unlock()
	if r != nil {
		<-r
	}
}

// Read implements lavenderridge.ConfigService.
func (n *node) Read(c context.Context, d lavenderridge.DocumentName, v lavenderridge.Version, w time.Duration) (*lavenderridge.Document, error) {
	for t := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		time.Sleep(fastLink)
		n.wait()
		if e := c.Err(); e != nil {
			return nil, e
		}
		p, e := n.look(d, v)
		if p != nil || e != nil || time.Since(t) >= w {
			return p, e
		}
	}
}

func (n *node) look(d lavenderridge.DocumentName, v lavenderridge.Version) (*lavenderridge.Document, error) {
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	if n.fleet.down {
		return nil, errors.New("source down")
	}
	h := lavenderridge.Version(len(n.fleet.published[d]))
	if s := n.stale[d]; s > 0 {
		h = min(h, s)
	}
	if h <= v {
		return nil, nil
	}
	return &lavenderridge.Document{Name: d, Version: h, Body: n.fleet.published[d][h-1]}, nil
}

// launch starts the node's daemon with nothing.
func (n *node) launch() {
	n.start++
	c, f := context.WithCancel(context.Background())
	p := &process{node: n, incarnation: lavenderridge.Incarnation(n.start), stop: f, store: configservice.NewStore(canonicalcbor.NewCodec())}
	t := n.Now()
	p.gate, p.neighbourhood = configservice.NewReadinessGate(t), peerpolicy.NewNeighbourhood(n.self.ID, n.self.DataCentre)
	s := configservice.NewSourceContact(t)
	a := daemonconfig.NewAcceptor(p.store, confighttp.Parser{}, n, p, testLogger)
	p.spreader = peer.NewSpreader(p.sender, p.store, a, p.gate, s, p.neighbourhood, dialer{n}, n, peer.WithAddress(n.self.Peer), peer.WithRecorder(p))
	r := daemonconfig.NewReader(n, p.store, a, p.gate, s, n, n.self.ID, n.self.DataCentre, daemonconfig.WithLastPeerMessage(p.neighbourhood.LastMessage), daemonconfig.WithFleetSize(500))
	n.fleet.mutex.Lock()
	p.want, p.calm = n.fleet.reachable(n), n.fleet.faults
	n.proc = p
	n.fleet.mutex.Unlock()
	p.done.Go(func() { _ = r.Run(c) })
	p.done.Go(func() { _ = p.spreader.Run(c) })
}

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
	if n.resume == nil && n.proc != nil {
		n.frozen, n.resume = time.Now(), make(chan struct{})
	}
}

// unpause lets the node go on and returns how long it stood still.
func (n *node) unpause() time.Duration {
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	if n.resume == nil {
		return 0
	}
	close(n.resume)
	n.resume = nil
	return time.Since(n.frozen)
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

// isReady reports whether the daemon takes work, as its assembly decides.
func (p *process) isReady() bool {
	s := p.store.Snapshot()
	return s != nil && p.gate.Ready(s.Versions(), p.node.Now()) == nil
}

// reachable returns the highest versions at the nodes that n can reach.
func (f *fleet) reachable(n *node) lavenderridge.Versions {
	var v lavenderridge.Versions
	for _, m := range f.nodes {
		if m != n && m.proc != nil && m.resume == nil && !f.cuts[pair(n.index, m.index)] {
			v = v.Max(m.proc.versions())
		}
	}
	return v
}

func pair(a, b int) [2]int {
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

// remote is a node as another one reaches it. Calls may be lost on their way
// or back, run twice, or run after the caller has given up.
type remote struct {
	lavenderridge.Peer
	from, to *node
}

func (r *remote) Exchange(c context.Context, q *lavenderridge.Exchange) (*lavenderridge.Exchange, error) {
	return carry(c, r, func(p *process) (*lavenderridge.Exchange, error) { return p.spreader.Exchange(c, q) })
}

func (r *remote) Pull(c context.Context, q *lavenderridge.PullRequest) (*lavenderridge.PullReply, error) {
	return carry(c, r, func(p *process) (*lavenderridge.PullReply, error) { return p.spreader.Pull(c, q) })
}

func carry[V any](c context.Context, r *remote, f func(*process) (*V, error)) (*V, error) {
	k := make(chan *V, 1)
	go func() { k <- deliver(r, f) }()
	select {
	case <-c.Done():
		r.from.wait()
		return nil, c.Err()
	case v := <-k:
		r.from.wait()
		if v == nil {
			return nil, errors.New("refused")
		}
		return v, nil
	}
}

const (
	faultNone = iota
	faultRequest
	faultReply
	faultTwice
	faultLate
	faultKinds
)

// fault returns what befalls the next call, how late it is if it is late, and
// the latency of the link.
func (f *fleet) fault() (k int, late, latency time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.random.Float64() >= f.lossy {
		return faultNone, 0, f.latency
	}
	return 1 + f.random.IntN(faultKinds-1), time.Duration(f.random.Int64N(int64(3 * time.Second))), f.latency
}

// deliver returns nil when the call is refused; a call that is lost takes
// longer than any caller waits.
func deliver[V any](r *remote, f func(*process) (*V, error)) *V {
	const lost = 4 * time.Second
	k, d, latency := r.from.fleet.fault()
	time.Sleep(latency)
	r.from.wait()
	r.from.fleet.mutex.Lock()
	cut := r.from.fleet.cuts[pair(r.from.index, r.to.index)]
	r.from.fleet.mutex.Unlock()
	if cut || k == faultRequest {
		time.Sleep(lost)
		return nil
	}
	if k == faultLate {
		time.Sleep(d)
	}
	r.to.wait()
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
	if k == faultReply {
		time.Sleep(lost)
	}
	time.Sleep(latency)
	return v
}

// run lets time pass and checks the invariants all along.
func (f *fleet) run(d time.Duration) {
	for t := time.Now(); time.Since(t) < d && f.broken == nil; {
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		f.check()
	}
}

func (f *fleet) check() {
	for _, n := range f.nodes {
		if n.proc != nil && f.broken == nil {
			f.broken = n.proc.check()
		}
	}
}

// check compares one process with the oracle: what was published, what it had
// in force before and what its neighbours knew.
func (p *process) check() error {
	s := p.store.Snapshot()
	if s == nil {
		return nil
	}
	v := s.Versions()
	if !v.Covers(p.seen) {
		return fmt.Errorf("%s went back from %v to %v", p.node.self.ID, p.seen, v)
	}
	if v != p.seen {
		if e := p.node.fleet.whole(s); e != nil {
			return fmt.Errorf("%s: %w", p.node.self.ID, e)
		}
	}
	p.seen = v
	if p.node.resume == nil && !p.ready && p.isReady() {
		p.ready = true
		if p.calm == p.node.fleet.faults && p.node.fleet.lossy == 0 && !v.Covers(p.want) {
			return fmt.Errorf("%s takes work with %v after a restart; neighbours within reach had %v", p.node.self.ID, v, p.want)
		}
	}
	return nil
}

// whole compares a snapshot with what was published under its versions.
func (f *fleet) whole(s *lavenderridge.Snapshot) error {
	k := canonicalcbor.NewCodec()
	a, i := s.Versions().Catalogue, s.Versions().InstanceList
	if !f.good[lavenderridge.DocumentCatalogue][a-1] {
		return fmt.Errorf("bad catalogue %d in force", a)
	}
	c, _ := confighttp.Parser{}.ParseCatalogue(f.published[lavenderridge.DocumentCatalogue][a-1])
	l, _ := confighttp.Parser{}.ParseInstanceList(f.published[lavenderridge.DocumentInstanceList][i-1])
	x, _ := k.EncodeCatalogue(c)
	y, _ := k.EncodeCatalogue(s.Catalogue)
	z, _ := k.EncodeInstanceList(l)
	w, _ := k.EncodeInstanceList(s.List)
	if !bytes.Equal(x, y) || !bytes.Equal(z, w) {
		return fmt.Errorf("versions %v in force in part", s.Versions())
	}
	for _, e := range s.Catalogue.Entries {
		if s.Service(e.Service) == nil {
			return fmt.Errorf("entry %s points at nothing", e.ID)
		}
	}
	return nil
}

// heal ends every fault.
func (f *fleet) heal() {
	f.mutex.Lock()
	f.lossy, f.down, f.latency = 0, false, fastLink
	f.faults++
	clear(f.cuts)
	for _, n := range f.nodes {
		clear(n.stale)
	}
	f.mutex.Unlock()
	for _, n := range f.nodes {
		n.unpause()
		if n.proc == nil {
			n.launch()
		}
	}
}

// converged returns what the fleet lacks.
func (f *fleet) converged() error {
	for _, n := range f.nodes {
		for _, d := range documents {
			if v, h := n.proc.store.Acceptance(d).Stamp.Version, f.highest(d); v != h {
				return fmt.Errorf("%s has %s %d; want %d", n.self.ID, d, v, h)
			}
		}
		if n.proc.store.Snapshot() != nil && !n.proc.isReady() {
			return fmt.Errorf("%s takes no work", n.self.ID)
		}
	}
	return nil
}

func (f *fleet) close() {
	f.heal()
	for _, n := range f.nodes {
		n.kill()
	}
	time.Sleep(time.Minute)
}
