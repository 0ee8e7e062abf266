package overload

import (
	"slices"
	"time"
)

const (
	// minWait is how long the caller of a connection with a request must have been awaited before the connection is closed in
	// favor of another one.
	minWait = time.Second
	// minBodyWait replaces it for a body of which nothing has been sent on, if a new connection finds no place: the caller
	// may send the request again.
	minBodyWait = 50 * time.Millisecond
	// minSilence is how long nothing must have arrived on a connection that is closed rather than one that has been used before.
	minSilence = 250 * time.Millisecond
)

// victim is a connection that may be closed in favor of a new one, as it was when the pool was searched.
type victim struct {
	*Connection
	rank  rank
	since int64
}

// victimShare is how many connections of the pool there are for each victim that a search finds: a search for each new connection
// would take most of the time of a large pool.
const victimShare = 32

// leastMissed returns the connection to close in favor of a new one; nil: none may be closed. The mutex must be held.
func (p *Pool) leastMissed(now time.Time) *Connection {
	for len(p.victims) > 0 {
		next := p.victims[0]
		p.victims = p.victims[1:]
		if _, open := p.open[next.Connection]; open && next.since == next.Connection.since.Load() && next.Connection.rank(now).class == next.rank.class {
			return next.Connection
		}
	}
	p.search(now)
	if len(p.victims) == 0 {
		return nil
	}
	least := p.victims[0].Connection
	p.victims = p.victims[1:]
	return least
}

// leastMissedHTTP2 returns the connection of HTTP/2 to close in favor of a new one; nil: none may be closed. The mutex must be held.
func (p *Pool) leastMissedHTTP2(now time.Time) *Connection {
	var found *Connection
	var least rank
	for c := range p.open {
		if r := c.rank(now); c.http2 && r.class != keep && (found == nil || r.before(least)) {
			found, least = c, r
		}
	}
	return found
}

// search finds the connections that are missed least, in that order. The mutex must be held.
func (p *Pool) search(now time.Time) {
	wanted := 1 + len(p.open)/victimShare
	p.victims = p.victims[:0]
	for c := range p.open {
		found := victim{Connection: c, since: c.since.Load(), rank: c.rank(now)}
		if found.rank.class == keep || len(p.victims) == wanted && !found.rank.before(p.victims[wanted-1].rank) {
			continue
		}
		at, _ := slices.BinarySearchFunc(p.victims, found, func(a, b victim) int {
			if b.rank.before(a.rank) {
				return 1
			}
			return -1
		})
		if len(p.victims) == wanted {
			p.victims = p.victims[:wanted-1]
		}
		p.victims = slices.Insert(p.victims, at, found)
	}
}

// class orders connections by how much they are missed, least first.
type class int

const (
	stalled     class = iota // a head, or a body of which nothing was sent on, has not arrived for minWait
	slowBody                 // a body has not arrived for minBodyWait
	partialHead              // a part of a head has arrived
	unread                   // nothing has arrived for minSilence
	idle                     // it waits for the next request
	opened                   // nothing has arrived yet
	slowReader               // a response is not taken
	keep                     // it is not closed for another one
)

// rank tells which of two connections is closed first: the one of the lower class, then the one that has waited longer.
type rank struct {
	class  class
	waited time.Duration
}

func (r rank) before(other rank) bool {
	if r.class != other.class {
		return r.class < other.class
	}
	return r.waited > other.waited
}

func (c *Connection) rank(now time.Time) rank {
	waited, waits := c.waitsForCaller(now)
	phase := Phase(c.phase.Load())
	switch {
	case !waits:
		return rank{class: keep}
	case phase == Idle:
		return rank{class: idle, waited: waited}
	case phase == Serving && waited >= minWait:
		return rank{class: slowReader, waited: waited}
	case phase == Serving:
		return rank{class: keep}
	case waited >= minWait:
		return rank{class: stalled, waited: waited}
	case phase == Silent && waited >= minSilence:
		return rank{class: unread, waited: waited}
	case phase == Silent || phase == Opened:
		return rank{class: opened, waited: waited}
	case phase == Head:
		return rank{class: partialHead, waited: waited}
	case waited >= minBodyWait:
		return rank{class: slowBody, waited: waited}
	}
	return rank{class: keep}
}

// waitsForCaller reports whether the connection waits for its caller, and how long it has.
func (c *Connection) waitsForCaller(now time.Time) (waited time.Duration, waits bool) {
	if writing := c.writing.Load(); writing != 0 {
		return now.Sub(time.Unix(0, writing)), true
	}
	if Phase(c.phase.Load()) == Serving {
		return 0, false
	}
	return now.Sub(time.Unix(0, c.since.Load())), true
}
