package peer

import "time"

// Records is a kind of news, as this daemon knows it: records with keys. No method blocks.
type Records[K comparable, R any] interface {
	// Merge takes in what others tell, and returns what of it is news.
	Merge(told []R) []R
	// Record returns what others are to be told under a key.
	Record(key K) (R, bool)
	// Records returns what a daemon that has just started is told, what matters most first, at most so many.
	Records(most int) []R
}

// noRecords knows nothing.
type noRecords[K comparable, R any] struct{}

func (noRecords[K, R]) Merge([]R) []R { return nil }
func (noRecords[K, R]) Record(K) (R, bool) {
	var none R
	return none, false
}
func (noRecords[K, R]) Records(int) []R { return nil }

// gossip is what daemons pass on of a kind of news in their exchanges. But for what is known, it is guarded by
// the mutex of its Node.
type gossip[K comparable, R any] struct {
	known   Records[K, R]
	key     func(R) K // of a record
	rumors  rumors[K]
	most    int // records in one message
	waiting int // most records that wait to be told
}

// newGossip returns what daemons tell of a kind of news, of which nothing is to be told yet.
func newGossip[K comparable, R any](known Records[K, R], key func(R) K, most, waiting int) gossip[K, R] {
	return gossip[K, R]{known: known, key: key, rumors: make(rumors[K]), most: most, waiting: waiting}
}

// passOn lets others be told what is known under a key. The caller holds the mutex.
func (g *gossip[K, R]) passOn(key K) {
	if len(g.rumors) < g.waiting {
		g.rumors.add(key, time.Now())
	}
}

// next returns what is put into the next message. The caller holds the mutex.
func (g *gossip[K, R]) next(fleet int) []R {
	var records []R
	for _, key := range g.rumors.next(fleet, g.most) {
		if record, known := g.known.Record(key); known {
			records = append(records, record)
		}
	}
	return records
}

// tell spreads a record of a service. The daemon that gives out its places is told first. It does not block.
func tell[K comparable, R any](n *Node, g *gossip[K, R], record R, service string) {
	n.mutex.Lock()
	g.passOn(g.key(record))
	n.mutex.Unlock()
	n.tellDispatcher(service)
}

// hear takes in what another daemon tells, and passes on what of it is news.
func hear[K comparable, R any](n *Node, g *gossip[K, R], told []R) {
	if len(told) == 0 {
		return
	}
	news := g.known.Merge(told)
	if len(news) == 0 {
		return
	}
	n.mutex.Lock()
	for _, record := range news {
		g.passOn(g.key(record))
	}
	n.mutex.Unlock()
	n.spreadSoon()
}
