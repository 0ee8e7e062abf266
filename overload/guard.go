package overload

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"
)

// Guard bounds the memory of all requests of a process. It is safe for concurrent use.
type Guard struct {
	limits Limits
	heads  *semaphore.Weighted
	// parsing is held while a large head is parsed, and for as long after it.
	parsing *semaphore.Weighted
	// ahead is held by requests of callers that have sent many ahead.
	ahead  *semaphore.Weighted
	frames *rate.Limiter // nil: no limit
	// few limits reads of few frames, which frames counts without a wait: many frames wait for few, and not the reverse.
	few     *rate.Limiter
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

// framesBurst is the time for which frames of HTTP/2 may be read at once after a pause.
const framesBurst = 100 * time.Millisecond

// NewGuard returns a guard with these limits.
func NewGuard(limits Limits, metrics tally.Scope) *Guard {
	g := &Guard{limits: limits, parsing: semaphore.NewWeighted(1), ahead: semaphore.NewWeighted(maxAhead), metrics: metrics, pressed: make(chan struct{}, 1), gauge: metrics.Gauge("request_memory_bytes"), refused: metrics.Counter("request_memory_refused")}
	if limits.HeadMemory > 0 {
		g.heads = semaphore.NewWeighted(limits.HeadMemory)
	}
	if limits.Frames > 0 {
		burst := max(int(limits.Frames*framesBurst.Seconds()), 1)
		g.frames, g.few = rate.NewLimiter(rate.Limit(limits.Frames), burst), rate.NewLimiter(rate.Limit(limits.Frames), burst)
	}
	metrics.Gauge("request_memory_max_bytes").Update(float64(limits.Memory))
	return g
}

// fewFrames is the cost of what a caller with a few requests at the same time sends at once.
const fewFrames = 100

// awaitFewFrames waits until processor time may be spent on at most fewFrames, or ctx ends.
func (g *Guard) awaitFewFrames(ctx context.Context, cost int) {
	if g.frames == nil {
		return
	}
	cost = min(cost, g.frames.Burst())
	g.frames.ReserveN(time.Now(), cost)
	// An error means that the connection is being closed.
	_ = g.few.WaitN(ctx, cost)
}

// awaitManyFrames waits until processor time may be spent on frames that others need not wait for, or ctx ends.
func (g *Guard) awaitManyFrames(ctx context.Context, cost int) {
	if g.frames != nil {
		// An error means that the connection is being closed.
		_ = g.frames.WaitN(ctx, min(cost, g.frames.Burst()))
	}
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
