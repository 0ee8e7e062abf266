package overload

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// Pool bounds the open connections of one listener. It is safe for concurrent use.
type Pool struct {
	guard    *Guard
	max      int // 0: unlimited
	gauge    tally.Gauge
	evicted  tally.Counter
	rejected tally.Counter

	// opened is the number of connections that were accepted and not read yet.
	opened atomic.Int64

	mutex sync.Mutex
	open  map[*Connection]struct{}
	// victims are those that the last search has found, least missed first.
	victims []victim
	http2   int // open connections on which HTTP/2 is spoken
}

// NewPool returns the pool of a listener for at most this many connections; 0: without a bound.
func (g *Guard) NewPool(listener string, connections int) *Pool {
	scope := g.metrics.Tagged(map[string]string{"listener": listener})
	p := &Pool{
		guard: g, max: connections, open: make(map[*Connection]struct{}),
		gauge: scope.Gauge("connections_open"), evicted: scope.Counter("connections_evicted"), rejected: scope.Counter("connections_rejected"),
	}
	scope.Gauge("connections_max").Update(float64(connections))
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.pools = append(g.pools, p)
	return p
}

// Add adds a connection, and closes the one that is missed least if the pool is full. It returns nil if none may be closed;
// the new one must be closed then. close closes the connection; it must not block.
func (p *Pool) Add(close func()) *Connection {
	now := time.Now()
	c := &Connection{pool: p, close: close}
	c.since.Store(now.UnixNano())
	p.mutex.Lock()
	var victim *Connection
	full := p.max > 0 && len(p.open) >= p.max
	if full {
		victim = p.leastMissed(now)
	}
	if full && victim == nil {
		p.mutex.Unlock()
		p.rejected.Inc(1)
		p.guard.count(func(counts *Counts) { counts.Rejected++ })
		return nil
	}
	if victim != nil {
		p.delete(victim)
	}
	p.open[c] = struct{}{}
	p.opened.Add(1)
	p.gauge.Update(float64(len(p.open)))
	p.mutex.Unlock()
	if victim != nil {
		p.evict(victim)
	}
	return c
}

// delete removes a connection that is open. The mutex must be held.
func (p *Pool) delete(c *Connection) {
	if _, open := p.open[c]; !open {
		return
	}
	delete(p.open, c)
	if c.http2 {
		p.http2--
	}
}

// maxHTTP2 returns how many connections of HTTP/2 may be open: half of all, as they need more memory, and each may have a request in
// progress, which keeps it from being closed for one of HTTP/1.1.
func (p *Pool) maxHTTP2() int {
	return max(p.max/2, 1)
}

// beginHTTP2 notes that HTTP/2 is spoken on a connection, and closes the one of HTTP/2 that is missed least if there are too many. It
// reports whether the connection may stay open.
func (p *Pool) beginHTTP2(c *Connection) bool {
	now := time.Now()
	p.mutex.Lock()
	var victim *Connection
	full := p.max > 0 && p.http2 >= p.maxHTTP2()
	if full {
		victim = p.leastMissedHTTP2(now)
	}
	_, open := p.open[c]
	if !open || full && victim == nil {
		p.mutex.Unlock()
		p.rejected.Inc(1)
		p.guard.count(func(counts *Counts) { counts.Rejected++ })
		return false
	}
	if victim != nil {
		p.delete(victim)
	}
	c.http2 = true
	p.http2++
	p.mutex.Unlock()
	if victim != nil {
		p.evict(victim)
	}
	return true
}

// maxOpened is the number of connections that were not read yet above which those that were accepted should be read before
// further ones are accepted.
const maxOpened = 16

// Crowded reports whether so many connections were accepted and not read yet that the daemon is short of processor time.
func (p *Pool) Crowded() bool {
	return p.opened.Load() > maxOpened
}

// CloseSilent closes the connections of which nothing has been read for a while. It is called while the daemon stops: nobody
// waits for a response on them.
func (p *Pool) CloseSilent() {
	now := time.Now()
	var silent []*Connection
	p.each(func(c *Connection) {
		if since := time.Unix(0, c.since.Load()); Phase(c.phase.Load()) == Silent && now.Sub(since) >= minSilence {
			silent = append(silent, c)
		}
	})
	for _, c := range silent {
		c.close()
	}
}

// evict closes a connection in favor of another one.
func (p *Pool) evict(victim *Connection) {
	p.evicted.Inc(1)
	p.guard.count(func(counts *Counts) { counts.Evicted++ })
	victim.close()
}

func (p *Pool) each(visit func(*Connection)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.open {
		visit(c)
	}
}
