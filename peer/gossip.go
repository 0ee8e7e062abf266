package peer

import "time"

// Records is the Node's access to records of one kind, by key. No method blocks.
type Records[K comparable, R any] interface {
	// Merge takes in records from peers and returns those that changed something.
	Merge(received []R) []R
	// Record returns the record to send to peers under a key.
	Record(key K) (R, bool)
	// Records returns up to limit records for a daemon that has just started, the most important
	// first.
	Records(limit int) []R
}

// noRecords is an empty Records.
type noRecords[K comparable, R any] struct{}

func (noRecords[K, R]) Merge([]R) []R { return nil }
func (noRecords[K, R]) Record(K) (R, bool) {
	var none R
	return none, false
}
func (noRecords[K, R]) Records(int) []R { return nil }

// gossip is the state of sending records of one kind to peers. All but records is guarded by the
// mutex of the Node.
type gossip[K comparable, R any] struct {
	records    Records[K, R]
	keyOf      func(R) K
	rumors     rumors[K]
	perMessage int // maximum records in one message
	maxQueued  int // maximum records that wait to be sent
}

// newGossip returns the gossip state of one kind of records, with nothing to send.
func newGossip[K comparable, R any](records Records[K, R], keyOf func(R) K, perMessage, maxQueued int) gossip[K, R] {
	return gossip[K, R]{records: records, keyOf: keyOf, rumors: make(rumors[K]), perMessage: perMessage, maxQueued: maxQueued}
}

// enqueue queues the record under a key to be sent to peers. The caller holds the mutex.
func (g *gossip[K, R]) enqueue(key K) {
	if len(g.rumors) < g.maxQueued {
		g.rumors.add(key, time.Now())
	}
}

// nextRecords returns the records for the next message. The caller holds the mutex.
func (g *gossip[K, R]) nextRecords(fleetSize int) []R {
	var records []R
	for _, key := range g.rumors.take(fleetSize, g.perMessage) {
		if record, known := g.records.Record(key); known {
			records = append(records, record)
		}
	}
	return records
}

// broadcastRecord sends a record of a service to peers, to the dispatcher of the service first. It
// does not block.
func broadcastRecord[K comparable, R any](n *Node, g *gossip[K, R], record R, service string) {
	n.mutex.Lock()
	g.enqueue(g.keyOf(record))
	n.mutex.Unlock()
	n.notifyDispatcher(service)
}

// receiveRecords merges records from another daemon and queues those that changed something to be
// sent on.
func receiveRecords[K comparable, R any](n *Node, g *gossip[K, R], received []R) {
	if len(received) == 0 {
		return
	}
	changed := g.records.Merge(received)
	if len(changed) == 0 {
		return
	}
	n.mutex.Lock()
	for _, record := range changed {
		g.enqueue(g.keyOf(record))
	}
	n.mutex.Unlock()
	n.requestGossip()
}
