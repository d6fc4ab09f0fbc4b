//go:build review

package fleet2

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// storeItem is an item of the store, or the deletion of one.
type storeItem struct {
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Rev     uint64 `json:"rev"`
	Created uint64 `json:"createdRev,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	server *http.Server

	mutex   sync.Mutex
	rev     uint64
	items   map[string]storeItem
	history []storeItem
	changed chan struct{}
}

// newStore serves a store at the address a.
func newStore(a string) (*store, error) {
	l, err := net.Listen("tcp", a)
	if err != nil {
		return nil, err
	}
	s := &store{rev: 100, items: map[string]storeItem{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /lavenderridge/kv-range", s.serveRange)
	mux.HandleFunc("GET /lavenderridge/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes an item and returns when it was acknowledged.
func (s *store) put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rev++
	i := storeItem{Key: key, Value: base64.StdEncoding.EncodeToString(b), Rev: s.rev, Created: s.rev}
	if o, found := s.items[key]; found {
		i.Created = o.Created
	}
	s.items[key] = i
	s.publish(i)
	return time.Now()
}

// remove deletes an item and returns when that was acknowledged.
func (s *store) remove(key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rev++
	delete(s.items, key)
	s.publish(storeItem{Key: key, Rev: s.rev, Deleted: true})
	return time.Now()
}

func (s *store) publish(i storeItem) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	a := []storeItem{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			a = append(a, i)
		}
	}
	rev := s.rev
	s.mutex.Unlock()
	sort.Slice(a, func(i, j int) bool { return a[i].Key < a[j].Key })
	writeJSON(w, map[string]any{"items": a, "hasMore": false, "asOf": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	for {
		s.mutex.Lock()
		a := []storeItem{}
		for _, i := range s.history {
			if i.Rev > after && strings.HasPrefix(i.Key, q.Get("pathPrefix")) {
				a = append(a, i)
			}
		}
		rev, changed := s.rev, s.changed
		s.mutex.Unlock()
		done := len(a) > 0
		if !done {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			case <-t.C:
				done = true
			}
		}
		if done {
			time.Sleep(storeDelay)
			writeJSON(w, map[string]any{"events": a, "asOf": rev})
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
