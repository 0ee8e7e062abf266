package logging

import "sync"

// maxOnce bounds what a Once remembers: others choose what there is to say.
const maxOnce = 1 << 14

// Once tells what has been logged before, so that it is logged once. The zero value has logged nothing. It is
// safe for concurrent use.
type Once[K comparable] struct {
	mutex sync.Mutex
	seen  map[K]bool
}

// First says whether something is to be logged: it was not before, and not too much was.
func (o *Once[K]) First(key K) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.seen[key] || len(o.seen) >= maxOnce {
		return false
	}
	if o.seen == nil {
		o.seen = make(map[K]bool)
	}
	o.seen[key] = true
	return true
}

// Keep forgets all but what is still to be remembered.
func (o *Once[K]) Keep(still func(key K) bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for key := range o.seen {
		if !still(key) {
			delete(o.seen, key)
		}
	}
}
