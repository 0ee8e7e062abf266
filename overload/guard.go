package overload

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"
)

// Guard bounds the memory of all requests of a process. It is safe for concurrent use.
type Guard struct {
	limits Limits
	heads  *semaphore.Weighted
	// parsing is held while a large head is parsed, and for as long after it.
	parsing *semaphore.Weighted
	// ahead is held by requests of callers that have sent many ahead.
	ahead   *semaphore.Weighted
	frames  *frameQueue // nil: no limit
	metrics tally.Scope
	// pressed, of capacity 1, signals that a connection was closed or a request refused.
	pressed chan struct{}

	mutex    sync.Mutex
	reserved int64
	pools    []*Pool
	gauge    tally.Gauge
	refused  tally.Counter
	counts   Counts
}

// Counts are the decisions of a Guard and its Pools so far.
type Counts struct {
	// Refused requests found no memory. Evicted connections were closed for the sake of others, and Rejected ones because
	// none of the others could be closed.
	Refused, Evicted, Rejected uint64
}

// NewGuard returns a guard with these limits.
func NewGuard(limits Limits, metrics tally.Scope) *Guard {
	g := &Guard{limits: limits, parsing: semaphore.NewWeighted(1), ahead: semaphore.NewWeighted(maxAhead), metrics: metrics, pressed: make(chan struct{}, 1), gauge: metrics.Gauge("request_memory_bytes"), refused: metrics.Counter("request_memory_refused")}
	if limits.HeadMemory > 0 {
		g.heads = semaphore.NewWeighted(limits.HeadMemory)
	}
	if limits.Frames > 0 {
		g.frames = newFrameQueue(limits.Frames)
	}
	metrics.Gauge("request_memory_max_bytes").Update(float64(limits.Memory))
	return g
}

// Limits returns the limits.
func (g *Guard) Limits() Limits {
	return g.limits
}

// Counts returns the decisions so far.
func (g *Guard) Counts() Counts {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.counts
}

// Pressed returns a channel that receives when a connection was closed or a request refused.
func (g *Guard) Pressed() <-chan struct{} {
	return g.pressed
}

func (g *Guard) count(apply func(*Counts)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.countLocked(apply)
}

func (g *Guard) countLocked(apply func(*Counts)) {
	apply(&g.counts)
	select {
	case g.pressed <- struct{}{}:
	default: // signaled already
	}
}

// reserve reserves bytes for a connection, and reports whether there is room. It may close other connections.
func (g *Guard) reserve(c *Connection, bytes int64, now time.Time) bool {
	g.mutex.Lock()
	var victims []*Connection
	fits := false
	for !c.evicted {
		if fits = g.fits(c, bytes); fits {
			g.setReserved(c, c.reserved+bytes)
			break
		}
		victim := g.slowest(c, now)
		if victim == nil {
			g.refused.Inc(1)
			g.countLocked(func(counts *Counts) { counts.Refused++ })
			break
		}
		g.setReserved(victim, 0)
		victim.evicted = true
		victims = append(victims, victim)
	}
	g.mutex.Unlock()
	for _, victim := range victims {
		victim.pool.evict(victim)
	}
	return fits
}

func (g *Guard) fits(c *Connection, bytes int64) bool {
	limit := g.limits.Memory
	if limit == 0 {
		return true
	}
	if c.reserved+bytes > smallReservation {
		limit = int64(float64(limit) * largeShare)
	}
	return g.reserved+bytes <= limit
}

func (g *Guard) setReserved(c *Connection, bytes int64) {
	g.reserved += bytes - c.reserved
	c.reserved = bytes
	g.gauge.Update(float64(g.reserved))
}

// slowest returns the connection with a reservation whose caller has been awaited for longest; nil: none has been for
// minWait.
func (g *Guard) slowest(except *Connection, now time.Time) *Connection {
	var found *Connection
	longest := minWait
	for _, pool := range g.pools {
		pool.each(func(c *Connection) {
			if c == except || c.reserved == 0 {
				return
			}
			if waited, waits := c.waitsForCaller(now); waits && waited >= longest {
				found, longest = c, waited
			}
		})
	}
	return found
}

// acquireHead waits for the memory of a large head that is to be served, and for its turn to be parsed. It reports whether both
// came in time.
func (g *Guard) acquireHead(ctx context.Context, cost int64) bool {
	if g.heads.Acquire(ctx, cost) == nil {
		if g.parsing.Acquire(ctx, 1) == nil {
			return true
		}
		g.heads.Release(cost)
	}
	g.refused.Inc(1)
	g.count(func(counts *Counts) { counts.Refused++ })
	return false
}
