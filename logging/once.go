package logging

import "sync"

// Deduplicator tells what has been logged before, so that it is logged once, and not more than so many things: others
// choose what there is to say. It is safe for concurrent use.
type Deduplicator[K comparable] struct {
	most int

	mutex sync.Mutex
	seen  map[K]bool
}

// NewDeduplicator returns a Once that has logged nothing, for at most so many things.
func NewDeduplicator[K comparable](most int) *Deduplicator[K] {
	return &Deduplicator[K]{most: most, seen: make(map[K]bool)}
}

// FirstSeen says whether something is to be logged: it was not before, and not too much was.
func (o *Deduplicator[K]) FirstSeen(key K) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.seen[key] || len(o.seen) >= o.most {
		return false
	}
	o.seen[key] = true
	return true
}

// Retain forgets all but what is still to be remembered.
func (o *Deduplicator[K]) Retain(still func(key K) bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for key := range o.seen {
		if !still(key) {
			delete(o.seen, key)
		}
	}
}
