package operator

import (
	"maps"
	"sync/atomic"
)

// copyMap is a bounded map that is read without a lock: each new key copies
// the map and swaps the pointer to it. It suits keys that are few and rarely
// new.
type copyMap[K comparable, V any] struct {
	current atomic.Pointer[map[K]V]
	limit   int
	make    func(K) V
}

// newCopyMap returns a map of at most n keys whose values come from f, which
// may be called more than once for a key.
func newCopyMap[K comparable, V any](n int, f func(K) V) *copyMap[K, V] {
	m := &copyMap[K, V]{limit: n, make: f}
	m.current.Store(&map[K]V{})
	return m
}

// get returns the value of the key k, which it adds when there is none. It
// reports false when the map is full.
func (m *copyMap[K, V]) get(k K) (V, bool) {
	for {
		p := m.current.Load()
		if v, o := (*p)[k]; o {
			return v, true
		}
		if len(*p) >= m.limit {
			var v V
			return v, false
		}
		v := m.make(k)
		n := maps.Clone(*p)
		n[k] = v
		if m.current.CompareAndSwap(p, &n) {
			return v, true
		}
	}
}

// all returns the map as it is now. It must not be changed.
func (m *copyMap[K, V]) all() map[K]V {
	return *m.current.Load()
}
