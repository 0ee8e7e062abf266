package peer

import (
	"math"
	"slices"
	"time"
)

// spreadFactor times the logarithm of the fleet size is how often a record is sent.
const spreadFactor = 3

// rumors are the keys of records that are still to be sent to peers. It is not safe for concurrent
// use.
type rumors[K comparable] map[K]*rumor

type rumor struct {
	at   time.Time // when the record changed
	sent int
}

// add queues a key, or restarts its count if it is already queued.
func (r rumors[K]) add(key K, at time.Time) {
	r[key] = &rumor{at: at}
}

// take returns up to limit keys for the next message: those sent the fewest times first, and of
// these the newest. Each key is sent a number of times bounded by the logarithm of the fleet size.
func (r rumors[K]) take(fleetSize, limit int) []K {
	maxSent := int(math.Ceil(spreadFactor * math.Log2(float64(fleetSize+2))))
	keys := make([]K, 0, len(r))
	for key := range r {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b K) int {
		if r[a].sent != r[b].sent {
			return r[a].sent - r[b].sent
		}
		return r[b].at.Compare(r[a].at)
	})
	keys = keys[:min(len(keys), limit)]
	for _, key := range keys {
		if r[key].sent++; r[key].sent >= maxSent {
			delete(r, key)
		}
	}
	return keys
}
