package logging

import "sync"

// Deduplicator records keys that have been logged, so that each is logged only once. The
// number of keys is limited, because keys may come from outside the daemon. It is safe for
// concurrent use.
type Deduplicator[K comparable] struct {
	maxKeys int

	mutex sync.Mutex
	seen  map[K]bool
}

// NewDeduplicator returns an empty Deduplicator for at most maxKeys keys.
func NewDeduplicator[K comparable](maxKeys int) *Deduplicator[K] {
	return &Deduplicator[K]{maxKeys: maxKeys, seen: make(map[K]bool)}
}

// FirstSeen reports whether key has not been recorded before, and records it. It returns false
// for new keys while maxKeys are recorded.
func (d *Deduplicator[K]) FirstSeen(key K) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.seen[key] || len(d.seen) >= d.maxKeys {
		return false
	}
	d.seen[key] = true
	return true
}

// Retain removes all keys for which keep returns false.
func (d *Deduplicator[K]) Retain(keep func(key K) bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for key := range d.seen {
		if !keep(key) {
			delete(d.seen, key)
		}
	}
}
