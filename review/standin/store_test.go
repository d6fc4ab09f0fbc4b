//go:build review

package review_test

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWatchWait is the longest wait of a watch.
const maxWatchWait = 30 * time.Second

// storeItem is one item of the store, or the deletion of one.
type storeItem struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"createdRev,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store.
type store struct {
	mutex   sync.Mutex
	rev     uint64
	items   map[string]storeItem
	history []storeItem
	changed chan struct{}
	// refused holds the machines that the store turns away.
	refused map[string]bool
	// watchers counts the watches of each machine.
	watchers map[string]int
	servers  []*http.Server
}

func newStore() *store {
	return &store{rev: 1, items: map[string]storeItem{}, changed: make(chan struct{}), refused: map[string]bool{}, watchers: map[string]int{}}
}

// listen serves the machine m at the address a.
func (s *store) listen(a, m string) error {
	l, e := net.Listen("tcp", a)
	if e != nil {
		return e
	}
	h := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { s.serve(w, q, m) })}
	s.servers = append(s.servers, h)
	go func() { _ = h.Serve(l) }()
	return nil
}

func (s *store) close() {
	for _, h := range s.servers {
		_ = h.Close()
	}
}

// put writes v under the key k and returns the revision. Its return is the store's
// acknowledgement.
func (s *store) put(k string, v []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rev++
	i := storeItem{Key: k, Value: base64.StdEncoding.EncodeToString(v), Rev: s.rev, Created: s.rev}
	if o, k := s.items[k]; k {
		i.Created = o.Created
	}
	s.items[k] = i
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.rev
}

// turnAway makes the store refuse the calls of the machines with the addresses a.
func (s *store) turnAway(a []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.refused)
	for _, v := range a {
		s.refused[v] = true
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// takeWatchers returns the machines that have watched since the last call.
func (s *store) takeWatchers() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var a []string
	for k := range s.watchers {
		a = append(a, k)
	}
	slices.Sort(a)
	clear(s.watchers)
	return a
}

// watchCounts returns the number of watches of each machine since takeWatchers.
func (s *store) watchCounts() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.watchers)
}

func (s *store) refuses(h string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.refused[h]
}

// serve answers a call of the machine h.
func (s *store) serve(w http.ResponseWriter, q *http.Request, h string) {
	if s.refuses(h) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	switch q.URL.Path {
	case "/lavenderridge/kv-range":
		s.serveRange(w, q)
	case "/lavenderridge/kv-watch":
		s.serveWatch(w, q, h)
	default:
		http.NotFound(w, q)
	}
}

func (s *store) serveRange(w http.ResponseWriter, q *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := []storeItem{}
	for k, v := range s.items {
		if strings.HasPrefix(k, q.URL.Query().Get("pathPrefix")) && k > q.URL.Query().Get("after") {
			a = append(a, v)
		}
	}
	slices.SortFunc(a, func(x, y storeItem) int { return strings.Compare(x.Key, y.Key) })
	writeJSON(w, map[string]any{"items": a, "hasMore": false, "asOf": s.rev})
}

func (s *store) serveWatch(w http.ResponseWriter, q *http.Request, h string) {
	n, e := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	m, x := strconv.Atoi(q.URL.Query().Get("waitMs"))
	if e != nil || x != nil {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	t := time.NewTimer(min(time.Duration(m)*time.Millisecond, maxWatchWait))
	defer t.Stop()
	for {
		a, r, f := s.eventsAfter(n, h)
		if len(a) > 0 {
			writeJSON(w, map[string]any{"events": a, "asOf": r})
			return
		}
		select {
		case <-f:
			if s.refuses(h) {
				http.Error(w, "busy", http.StatusServiceUnavailable)
				return
			}
		case <-t.C:
			a, r, _ = s.eventsAfter(n, h)
			writeJSON(w, map[string]any{"events": a, "asOf": r})
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (s *store) eventsAfter(n uint64, h string) ([]storeItem, uint64, <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watchers[h]++
	a := []storeItem{}
	for _, v := range s.history {
		if v.Rev > n {
			a = append(a, v)
		}
	}
	return a, s.rev, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
