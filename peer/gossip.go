package peer

import "time"

// gossip is a kind of news that daemons pass on to each other in their exchanges: records with keys, of which
// each daemon keeps what it knows. It is guarded by the mutex of its Node, but for its functions.
type gossip[K comparable, R any] struct {
	rumors  rumors[K]
	most    int // records in one message
	waiting int // most records that wait to be told
	// key returns what a record is about, newest what is known about that now, and take takes in what
	// others tell and returns what of it is news. None blocks.
	key    func(R) K
	newest func(K) (R, bool)
	take   func([]R) []R
}

// passOn lets others be told what is known about something. The caller holds the mutex.
func (g *gossip[K, R]) passOn(key K) {
	if len(g.rumors) < g.waiting {
		g.rumors.add(key, time.Now())
	}
}

// next returns what is put into the next message. The caller holds the mutex.
func (g *gossip[K, R]) next(fleet int) []R {
	var records []R
	for _, key := range g.rumors.next(fleet, g.most) {
		if record, known := g.newest(key); known {
			records = append(records, record)
		}
	}
	return records
}

// tell spreads a record of a service. The daemon that gives out its places is told first. It does not block.
func tell[K comparable, R any](n *Node, g *gossip[K, R], key K, service string) {
	n.mutex.Lock()
	g.passOn(key)
	n.mutex.Unlock()
	n.tellDispatcher(service)
}

// hear takes in what another daemon tells, and passes on what of it is news.
func hear[K comparable, R any](n *Node, g *gossip[K, R], told []R) {
	if len(told) == 0 {
		return
	}
	news := g.take(told)
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
