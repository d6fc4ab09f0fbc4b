package operator

import (
	"maps"
	"sync/atomic"
)

// copyOnWriteMap is a bounded map that is read without a lock. Each new key
// copies the whole map and swaps the pointer to it, so it suits a small number of
// keys that are rarely added.
type copyOnWriteMap[K comparable, V any] struct {
	current atomic.Pointer[map[K]V]
	limit   int
	make    func(K) V
}

// newCopyOnWriteMap returns a map of at most n keys. The function f creates the
// value of a key; it may be called more than once for the same key, and only one
// of the values is used.
func newCopyOnWriteMap[K comparable, V any](n int, f func(K) V) *copyOnWriteMap[K, V] {
	m := &copyOnWriteMap[K, V]{limit: n, make: f}
	m.current.Store(&map[K]V{})
	return m
}

// get returns the value of the key k, which it adds if it is missing. It reports
// false if the key is missing and the map is full.
func (m *copyOnWriteMap[K, V]) get(k K) (V, bool) {
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

// all returns the current map, which the caller must not modify.
func (m *copyOnWriteMap[K, V]) all() map[K]V {
	return *m.current.Load()
}
