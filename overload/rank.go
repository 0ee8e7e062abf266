package overload

import "time"

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

// leastMissed returns the connection to close in favor of a new one; nil: none may be closed. The mutex must be held.
func (p *Pool) leastMissed(now time.Time) *Connection {
	var found *Connection
	var least rank
	for c := range p.open {
		if r := c.rank(now); r.class != keep && (found == nil || r.before(least)) {
			found, least = c, r
		}
	}
	return found
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
