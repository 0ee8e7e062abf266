package overload

import (
	"context"
	"sync/atomic"
	"time"
)

// Phase is what a connection is doing.
type Phase int32

// The phases of a connection.
const (
	Opened    Phase = iota // it was accepted and not read yet
	Silent                 // nothing has arrived yet
	Head                   // a part of a head has arrived
	Idle                   // it waits for the next request
	Receiving              // a body is being received, and nothing of the request has been sent on
	Serving                // a request is being served
	closed                 // it was removed from its pool
)

// Connection is an open connection of a caller. Its methods are safe for concurrent use. Those for requests do nothing if it
// is nil, which stands for a connection without limits.
type Connection struct {
	pool  *Pool
	close func()

	phase atomic.Int32
	// since is when the phase began, and writing since when the caller has taken nothing of what is written; 0: it has taken
	// all. Both are in nanoseconds of Unix time.
	since, writing atomic.Int64
	writes         atomic.Int32 // in progress

	headCost atomic.Int64 // acquired by AdmitHead
	// parsingSince is when the parsing of a large head began, in nanoseconds of Unix time; 0: none is being parsed.
	parsingSince atomic.Int64

	ahead, turn atomic.Bool

	// finishTag is where the turn of the connection's last read ends. It is guarded by the mutex of the frameQueue.
	finishTag float64

	http2 bool // HTTP/2 is spoken; guarded by the mutex of the pool

	// Guarded by the mutex of the Guard.
	reserved int64
	evicted  bool // it is being closed, and what it had reserved is released
}

// Remove removes a connection that was closed. It may be called more than once.
func (c *Connection) Remove() {
	p := c.pool
	if Phase(c.phase.Swap(int32(closed))) == Opened {
		p.opened.Add(-1)
	}
	p.mutex.Lock()
	p.delete(c)
	p.gauge.Update(float64(len(p.open)))
	p.mutex.Unlock()
	g := p.guard
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.setReserved(c, 0)
	c.evicted = true
}

// SetPhase notes what the connection is doing from now on.
func (c *Connection) SetPhase(phase Phase) {
	if c == nil {
		return
	}
	switch Phase(c.phase.Swap(int32(phase))) {
	case phase:
	case closed:
		c.phase.Store(int32(closed))
	case Opened:
		c.pool.opened.Add(-1)
		fallthrough
	default:
		c.since.Store(time.Now().UnixNano())
	}
}

// BeginReading notes that the connection is read. It may be called more than once.
func (c *Connection) BeginReading() {
	if c.phase.CompareAndSwap(int32(Opened), int32(Silent)) {
		c.pool.opened.Add(-1)
	}
}

// BeginHTTP2 notes that HTTP/2 is spoken on the connection, and reports whether it may stay open.
func (c *Connection) BeginHTTP2() bool { return c.pool.beginHTTP2(c) }

// EndServing notes that the response to a request has been written. It does nothing if no request is being served.
func (c *Connection) EndServing() {
	if c.phase.CompareAndSwap(int32(Serving), int32(Idle)) {
		c.since.Store(time.Now().UnixNano())
	}
}

// stalledAfter is how long a caller must take nothing of its responses to count as stalled.
const stalledAfter = 100 * time.Millisecond

// Stalled reports whether the caller has taken nothing of the responses that are being sent for a while.
func (c *Connection) Stalled() bool {
	if c == nil {
		return false
	}
	writing := c.writing.Load()
	return writing != 0 && time.Since(time.Unix(0, writing)) >= stalledAfter
}

// SetAhead notes whether the caller has sent many requests ahead of the responses.
func (c *Connection) SetAhead(ahead bool) { c.ahead.Store(ahead) }

// aheadKey is the key of a mark in the context of a request that was started early.
type aheadKey struct{}

// NewAheadContext returns a context for a request that is started early and whose caller has sent many ahead.
func NewAheadContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, aheadKey{}, true)
}

// SentAhead reports whether the caller of a request had sent many ahead when it was begun.
func SentAhead(ctx context.Context) bool {
	if ctx.Value(aheadKey{}) != nil {
		return true
	}
	c := FromContext(ctx)
	return c != nil && c.ahead.Load()
}

// maxAhead is the number of requests of callers that have sent many ahead that are served at the same time. More of them would
// take positions in queues from others.
const maxAhead = 16

// AwaitTurn waits until a request of a caller that has sent many ahead may be served and processor time may be spent on it, which
// has this cost in frames of HTTP/2. It reports false if ctx ends before. EndTurn must be called afterwards.
func (c *Connection) AwaitTurn(ctx context.Context, cost int) bool {
	c.EndTurn()
	if c.pool.guard.ahead.Acquire(ctx, 1) != nil {
		return false
	}
	c.turn.Store(true)
	c.AwaitFrames(ctx, cost, 1)
	return ctx.Err() == nil
}

// EndTurn ends what AwaitTurn began. It may be called more than once.
func (c *Connection) EndTurn() {
	if c.turn.Swap(false) {
		c.pool.guard.ahead.Release(1)
	}
}

// BeginWrite notes that a write to the caller begins, and EndWrite that it has returned, and whether the caller has taken
// something. Several may be in progress on a connection of HTTP/2.
func (c *Connection) BeginWrite() {
	if c.writes.Add(1) == 1 {
		c.writing.CompareAndSwap(0, time.Now().UnixNano())
	}
}

// EndWrite ends what BeginWrite began.
func (c *Connection) EndWrite(taken bool) {
	left := c.writes.Add(-1)
	switch {
	case !taken:
	case left > 0:
		c.writing.Store(time.Now().UnixNano())
	default:
		c.writing.Store(0)
	}
}

// Reserve reserves memory for the connection's requests, and reports whether there is room.
func (c *Connection) Reserve(bytes int64) bool {
	return c == nil || bytes <= 0 || c.pool.guard.reserve(c, bytes, time.Now())
}

// Release releases a part of what was reserved.
func (c *Connection) Release(bytes int64) {
	if c == nil || bytes <= 0 {
		return
	}
	g := c.pool.guard
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.setReserved(c, max(c.reserved-bytes, 0))
}

// AdmitHead waits until a request with a head of this size may be parsed and served, and reports whether it may. EndHead must
// be called after it was parsed, and ReleaseHead after it was served.
func (c *Connection) AdmitHead(ctx context.Context, bytes, lines int) bool {
	g := c.pool.guard
	if g.heads == nil || IsSmallHead(bytes, lines) {
		return true
	}
	cost := min(headCost(bytes, lines), g.limits.HeadMemory)
	if !g.acquireHead(ctx, cost) {
		return false
	}
	c.headCost.Store(cost)
	c.parsingSince.Store(time.Now().UnixNano())
	return true
}

// IsSmallHead reports whether a request with a head of this size is served without waiting for memory.
func IsSmallHead(bytes, lines int) bool {
	return headCost(bytes, lines) <= headCost(HeadAllowance, HeadLineAllowance)
}

// EndHead ends the parsing of a head that AdmitHead has admitted. Large heads are parsed one at a time, for half of the time at
// most, so that other requests are served meanwhile. It may be called more than once.
func (c *Connection) EndHead() {
	if since := c.parsingSince.Swap(0); since != 0 {
		parsing := c.pool.guard.parsing
		time.AfterFunc(time.Since(time.Unix(0, since)), func() { parsing.Release(1) })
	}
}

// AwaitFrames waits until the process may spend processor time on frames of HTTP/2 of this cost, or ctx ends. Connections that have
// used less than others for their weight go first.
func (c *Connection) AwaitFrames(ctx context.Context, cost int, weight float64) {
	if frames := c.pool.guard.frames; frames != nil {
		frames.await(ctx, c, cost, weight)
	}
}

// ReleaseHead releases what AdmitHead has acquired. It may be called more than once.
func (c *Connection) ReleaseHead() {
	c.EndHead()
	if cost := c.headCost.Swap(0); cost > 0 {
		c.pool.guard.heads.Release(cost)
	}
}

// contextKey is the key of a request's Connection in its context.
type contextKey struct{}

// NewContext returns a context for the requests of a connection.
func NewContext(ctx context.Context, c *Connection) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection of a request; nil: it is not known.
func FromContext(ctx context.Context) *Connection {
	c, _ := ctx.Value(contextKey{}).(*Connection)
	return c
}
