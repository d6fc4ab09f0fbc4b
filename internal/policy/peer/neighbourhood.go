package peer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/lavenderridge/lavenderridge"
)

const (
	// failuresDown is the number of failed calls in a row after which a
	// neighbour counts as down.
	failuresDown = 2
	// probeInterval is the time between calls to a neighbour that is down.
	probeInterval = 5 * time.Second
	// inboundLifetime is how long a daemon that called counts as a neighbour.
	inboundLifetime = 30 * time.Second
	// maxInbound bounds the neighbours by their own choice.
	maxInbound = 32
)

// A Neighbourhood tracks a daemon's neighbours: it replaces one that is down
// and takes it back when it returns.
type Neighbourhood struct {
	self       lavenderridge.InstanceID
	dataCentre lavenderridge.DataCentreID

	mutex      sync.Mutex
	membership *Membership
	states     map[lavenderridge.InstanceID]*state
	// natural are the neighbours if none were down; current are those in use.
	natural  []*lavenderridge.Instance
	current  []*lavenderridge.Instance
	choosers []*lavenderridge.Instance
	turn     int
	// strangers are daemons that called while there was no instance list.
	strangers map[lavenderridge.InstanceID]*lavenderridge.Instance
}

// state is what is known of another daemon.
type state struct {
	incarnation lavenderridge.Incarnation
	stamps      lavenderridge.Stamps
	heard       time.Time
	called      time.Time
	tried       time.Time
	failures    int
	leaving     bool
}

func (s *state) down() bool { return s.failures >= failuresDown }

// NewNeighbourhood returns the neighbourhood of the instance n in the data
// centre d, empty until the first list is set.
func NewNeighbourhood(n lavenderridge.InstanceID, d lavenderridge.DataCentreID) *Neighbourhood {
	return &Neighbourhood{
		self: n, dataCentre: d, membership: NewMembership(&lavenderridge.InstanceList{}),
		states:    make(map[lavenderridge.InstanceID]*state),
		strangers: make(map[lavenderridge.InstanceID]*lavenderridge.Instance),
	}
}

// SetList puts the instance list l in force. Instances that it lacks are
// forgotten.
func (h *Neighbourhood) SetList(l *lavenderridge.InstanceList) {
	m := NewMembership(l)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.membership = m
	clear(h.strangers)
	for d := range h.states {
		if m.Instance(d) == nil {
			delete(h.states, d)
		}
	}
	h.choosers = m.Choosers(h.self, h.dataCentre)
	h.natural = m.Neighbours(h.self, h.dataCentre, h.choosers, nil)
	h.choose()
}

// Fleet returns the number of listed instances.
func (h *Neighbourhood) Fleet() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.membership.Size()
}

// Instance returns the listed instance with the ID d, or nil.
func (h *Neighbourhood) Instance(d lavenderridge.InstanceID) *lavenderridge.Instance {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if n := h.membership.Instance(d); n != nil {
		return n
	}
	return h.strangers[d]
}

// Introduce takes in that the sender s called from the address a. A daemon
// that has no instance list, because the source is down, gets one from it.
func (h *Neighbourhood) Introduce(s lavenderridge.Sender, a lavenderridge.Address) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.membership.Size() > 0 || a == "" || len(h.strangers) >= maxInbound {
		return
	}
	h.strangers[s.Instance] = &lavenderridge.Instance{ID: s.Instance, DataCentre: s.DataCentre, Peer: a, State: lavenderridge.InstanceLive}
}

// Heard takes in a message of the sender s at the time t. It reports false for
// a message of an earlier run of that daemon, which tells nothing any more.
// The flag i says that the sender called; l that it takes no new work.
func (h *Neighbourhood) Heard(s lavenderridge.Sender, i, l bool, t time.Time) bool {
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
	v.heard, v.failures = t, 0
	if i {
		v.called = t
	}
	if w {
		h.choose()
	}
	return true
}

// Failed takes in that a call to the instance d failed.
func (h *Neighbourhood) Failed(d lavenderridge.InstanceID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.membership.Instance(d) == nil {
		return
	}
	v := h.state(d)
	v.failures++
	if v.failures == failuresDown {
		h.choose()
	}
}

// Next returns the neighbour with which to exchange versions at the time t, or
// nil when there is none. Now and then that is one that is down.
func (h *Neighbourhood) Next(t time.Time) *lavenderridge.Instance {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, n := range h.natural {
		if v := h.state(n.ID); v.down() && t.Sub(v.tried) >= probeInterval {
			v.tried = t
			return n
		}
	}
	a := h.reachable(t)
	if len(a) == 0 {
		return nil
	}
	h.turn++
	return a[h.turn%len(a)]
}

// Behind returns the neighbours that are not known to have the versions s.
func (h *Neighbourhood) Behind(s lavenderridge.Versions, t time.Time) []*lavenderridge.Instance {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.DeleteFunc(h.reachable(t), func(n *lavenderridge.Instance) bool {
		return h.state(n.ID).stamps.Versions().Covers(s)
	})
}

// Reachable returns the neighbours that are not down.
func (h *Neighbourhood) Reachable(t time.Time) []*lavenderridge.Instance {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.reachable(t)
}

// PeerHeard returns when a neighbour was last heard of.
func (h *Neighbourhood) PeerHeard() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var t time.Time
	for _, v := range h.states {
		if v.heard.After(t) {
			t = v.heard
		}
	}
	return t
}

// Neighbours returns what is known of each neighbour at the time t, by ID.
func (h *Neighbourhood) Neighbours(t time.Time) []lavenderridge.Neighbour {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	a := h.reachable(t)
	for _, n := range h.natural {
		if !slices.Contains(a, n) {
			a = append(a, n)
		}
	}
	r := make([]lavenderridge.Neighbour, len(a))
	for i, n := range a {
		v := h.state(n.ID)
		r[i] = lavenderridge.Neighbour{
			Instance: n.ID, Incarnation: v.incarnation, Versions: v.stamps.Versions(),
			Heard: v.heard, Down: v.down(), Leaving: v.leaving,
		}
	}
	slices.SortFunc(r, func(a, b lavenderridge.Neighbour) int { return cmp.Compare(a.Instance, b.Instance) })
	return r
}

func (h *Neighbourhood) state(d lavenderridge.InstanceID) *state {
	v, o := h.states[d]
	if !o {
		v = &state{}
		h.states[d] = v
	}
	return v
}

func (h *Neighbourhood) isDown(d lavenderridge.InstanceID) bool {
	v, o := h.states[d]
	return o && v.down()
}

func (h *Neighbourhood) choose() {
	h.current = h.membership.Neighbours(h.self, h.dataCentre, h.choosers, h.isDown)
}

// reachable returns the chosen neighbours and those that called of late.
func (h *Neighbourhood) reachable(t time.Time) []*lavenderridge.Instance {
	a := slices.Clone(h.current)
	for d, v := range h.states {
		if len(a) >= len(h.current)+maxInbound {
			break
		}
		n := h.membership.Instance(d)
		if !v.called.IsZero() && t.Sub(v.called) < inboundLifetime && !v.down() && !slices.Contains(a, n) {
			a = append(a, n)
		}
	}
	slices.SortFunc(a, func(x, y *lavenderridge.Instance) int { return cmp.Compare(x.ID, y.ID) })
	return a
}
