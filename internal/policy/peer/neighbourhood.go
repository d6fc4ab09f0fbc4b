package peer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// maxCallFailures is the number of failed calls in a row after which a
	// neighbour counts as down.
	maxCallFailures = 2
	// probeInterval is the time between calls to a neighbour that is down.
	probeInterval = 5 * time.Second
	// inboundLifetime is how long a daemon counts as a neighbour after it
	// called this one.
	inboundLifetime = 30 * time.Second
	// maxInbound is the largest number of neighbours that are not selected and
	// count only because they called. It also bounds the unlisted daemons.
	maxInbound = 32
)

// A Neighbourhood tracks a daemon's neighbours. It replaces a neighbour that is
// down and selects it again when it is back.
type Neighbourhood struct {
	self       lavenderridge.InstanceID
	dataCentre lavenderridge.DataCentreID

	mutex      sync.Mutex
	membership *Membership
	states     map[lavenderridge.InstanceID]*neighbourState
	// preferred are the neighbours while none is down; current are those in use.
	// inbound are the instances that select this one.
	preferred []*lavenderridge.Instance
	current   []*lavenderridge.Instance
	inbound   []*lavenderridge.Instance
	nextIndex int
	// unlisted are daemons that called while this one had no instance list.
	unlisted map[lavenderridge.InstanceID]*lavenderridge.Instance
}

// neighbourState is the known state of another daemon.
type neighbourState struct {
	incarnation     lavenderridge.Incarnation
	stamps          lavenderridge.Stamps
	lastMessage     time.Time
	lastInboundCall time.Time
	lastProbe       time.Time
	failures        int
	leaving         bool
}

func (s *neighbourState) down() bool { return s.failures >= maxCallFailures }

// NewNeighbourhood returns the neighbourhood of the instance n in the data centre
// d. It is empty until SetList is called.
func NewNeighbourhood(n lavenderridge.InstanceID, d lavenderridge.DataCentreID) *Neighbourhood {
	return &Neighbourhood{
		self: n, dataCentre: d, membership: NewMembership(&lavenderridge.InstanceList{}),
		states:   make(map[lavenderridge.InstanceID]*neighbourState),
		unlisted: make(map[lavenderridge.InstanceID]*lavenderridge.Instance),
	}
}

// SetList replaces the instance list by l and discards the state of instances
// that l does not contain.
func (h *Neighbourhood) SetList(l *lavenderridge.InstanceList) {
	m := NewMembership(l)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.membership = m
	clear(h.unlisted)
	for d := range h.states {
		if m.Instance(d) == nil {
			delete(h.states, d)
		}
	}
	h.inbound = m.Inbound(h.self, h.dataCentre)
	h.preferred = m.Neighbours(h.self, h.dataCentre, h.inbound, nil)
	h.selectNeighbours()
}

// FleetSize returns the number of listed instances.
func (h *Neighbourhood) FleetSize() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.membership.Size()
}

// Instance returns the instance with the ID d if it is listed or was added with
// AddUnlisted, or nil.
func (h *Neighbourhood) Instance(d lavenderridge.InstanceID) *lavenderridge.Instance {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if n := h.membership.Instance(d); n != nil {
		return n
	}
	return h.unlisted[d]
}

// AddUnlisted records that the sender s called from the address a. A daemon without
// an instance list, because the source is down, can then pull one from s. With a
// list, AddUnlisted does nothing.
func (h *Neighbourhood) AddUnlisted(s lavenderridge.Sender, a lavenderridge.Address) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.membership.Size() > 0 || a == "" || len(h.unlisted) >= maxInbound {
		return
	}
	h.unlisted[s.Instance] = &lavenderridge.Instance{ID: s.Instance, DataCentre: s.DataCentre, Peer: a, State: lavenderridge.InstanceLive}
}

// MessageReceived records that a message of the sender s arrived at the time t, if
// s is listed. It returns false if the message is outdated, because a later
// incarnation of that daemon has sent one. The flag i is true if the sender made
// the call, and l if it is leaving.
func (h *Neighbourhood) MessageReceived(s lavenderridge.Sender, i, l bool, t time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if s.Instance == h.self || h.membership.Instance(s.Instance) == nil {
		return true
	}
	v := h.state(s.Instance)
	if s.Incarnation < v.incarnation {
		return false
	}
	w := v.down()
	v.incarnation, v.stamps, v.leaving = s.Incarnation, s.Stamps, l
	v.lastMessage, v.failures = t, 0
	if i {
		v.lastInboundCall = t
	}
	if w {
		h.selectNeighbours()
	}
	return true
}

// Failed records that a call to the instance d failed.
func (h *Neighbourhood) Failed(d lavenderridge.InstanceID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.membership.Instance(d) == nil {
		return
	}
	v := h.state(d)
	v.failures++
	if v.failures == maxCallFailures {
		h.selectNeighbours()
	}
}

// Next returns the neighbour to exchange versions with at the time t, or nil when
// there is none. A neighbour that is down is due every probeInterval; otherwise
// the reachable ones take turns.
func (h *Neighbourhood) Next(t time.Time) *lavenderridge.Instance {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, n := range h.preferred {
		if v := h.state(n.ID); v.down() && t.Sub(v.lastProbe) >= probeInterval {
			v.lastProbe = t
			return n
		}
	}
	a := h.reachable(t)
	if len(a) == 0 {
		return nil
	}
	h.nextIndex++
	return a[h.nextIndex%len(a)]
}

// Behind returns the reachable neighbours that are not known to have at least the
// versions s.
func (h *Neighbourhood) Behind(s lavenderridge.Versions, t time.Time) []*lavenderridge.Instance {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.DeleteFunc(h.reachable(t), func(n *lavenderridge.Instance) bool {
		return h.state(n.ID).stamps.Versions().Covers(s)
	})
}

// Reachable returns the neighbours in use at the time t, without those that are
// down.
func (h *Neighbourhood) Reachable(t time.Time) []*lavenderridge.Instance {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.reachable(t)
}

// Neighbours returns the state of each neighbour at the time t, sorted by ID. It
// includes preferred neighbours that are down.
func (h *Neighbourhood) Neighbours(t time.Time) []lavenderridge.Neighbour {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	a := h.reachable(t)
	for _, n := range h.preferred {
		if !slices.Contains(a, n) {
			a = append(a, n)
		}
	}
	r := make([]lavenderridge.Neighbour, len(a))
	for i, n := range a {
		v := h.state(n.ID)
		r[i] = lavenderridge.Neighbour{
			Instance: n.ID, Incarnation: v.incarnation, Versions: v.stamps.Versions(),
			Heard: v.lastMessage, Down: v.down(), Leaving: v.leaving,
		}
	}
	slices.SortFunc(r, func(a, b lavenderridge.Neighbour) int { return cmp.Compare(a.Instance, b.Instance) })
	return r
}

func (h *Neighbourhood) state(d lavenderridge.InstanceID) *neighbourState {
	v, o := h.states[d]
	if !o {
		v = &neighbourState{}
		h.states[d] = v
	}
	return v
}

func (h *Neighbourhood) isDown(d lavenderridge.InstanceID) bool {
	v, o := h.states[d]
	return o && v.down()
}

func (h *Neighbourhood) selectNeighbours() {
	h.current = h.membership.Neighbours(h.self, h.dataCentre, h.inbound, h.isDown)
}

// reachable returns the selected neighbours and those that called within
// inboundLifetime.
func (h *Neighbourhood) reachable(t time.Time) []*lavenderridge.Instance {
	a := slices.Clone(h.current)
	for d, v := range h.states {
		if len(a) >= len(h.current)+maxInbound {
			break
		}
		n := h.membership.Instance(d)
		if !v.lastInboundCall.IsZero() && t.Sub(v.lastInboundCall) < inboundLifetime && !v.down() && !slices.Contains(a, n) {
			a = append(a, n)
		}
	}
	slices.SortFunc(a, func(x, y *lavenderridge.Instance) int { return cmp.Compare(x.ID, y.ID) })
	return a
}
