package pipelining

import "context"

// maxBacklog is the size of the requests that a caller may have sent ahead, beyond those that were started, and be treated as
// others: as many requests as are started early are smaller.
const maxBacklog = 3 << 10

// hasBacklog reports whether the caller has sent more ahead than maxBacklog. The mutex must be held.
func (c *conn) hasBacklog() bool {
	return c.readAhead.size()-c.startedBytes > maxBacklog
}

// awaitTurn reports false if the connection was closed before it was the turn of its request. The mutex must be held; it is
// released while awaitTurn blocks.
func (c *conn) awaitTurn() bool {
	if c.closed {
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.cancelTurn = cancel
	c.mutex.Unlock()
	begun := c.tracked.AwaitTurn(ctx, requestCost)
	c.mutex.Lock()
	c.cancelTurn = nil
	return begun
}
