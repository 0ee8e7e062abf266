package pipelining

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tuliphall/tuliphall/requestlimits"
)

// limitedConn is the state of a connection by which limits on requests are applied. net/http cannot change its limits
// while it runs, and does not answer a head that is not complete in time.
type limitedConn struct {
	tracker requestlimits.Tracker
	verdict requestlimits.Verdict // on the bytes taken last
	// serving: a handler runs. net/http then reads only to notice that the caller closes the connection.
	serving bool
	refused atomic.Bool // nothing more is read or written
	// blocked: a read waits for bytes of a head, or for a request on an idle connection.
	blocked bool
}

// deadlineOf returns the deadline that replaces one that net/http sets. While a head is read, only the limits on requests
// apply.
func (c *conn) deadlineOf(deadline time.Time) time.Time {
	if c.server.limitsHeads() && c.limited.tracker.InHead() && !c.passThrough {
		return time.Time{}
	}
	return deadline
}

// Limits returns the limits in force.
func (s *Server) Limits() requestlimits.Limits {
	if limits := s.limits.Load(); limits != nil {
		return *limits
	}
	return requestlimits.Limits{}
}

// SetLimits puts limits in force, also on the connections that are open. It does not block.
func (s *Server) SetLimits(limits requestlimits.Limits) {
	if s.Limits() == limits {
		return
	}
	s.limits.Store(&limits)
	s.connections.each((*conn).applyLimits)
}

// limitsHeads reports whether heads have other limits than net/http's.
func (s *Server) limitsHeads() bool {
	return s.options.RefuseHead != nil
}

// connections is the set of open connections.
type connections struct {
	mutex sync.Mutex
	open  map[*conn]struct{}
}

func (c *connections) add(added *conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open == nil {
		c.open = make(map[*conn]struct{})
	}
	c.open[added] = struct{}{}
}

func (c *connections) remove(removed *conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.open, removed)
}

// each calls apply for each connection without holding the mutex.
func (c *connections) each(apply func(*conn)) {
	c.mutex.Lock()
	open := make([]*conn, 0, len(c.open))
	for connection := range c.open {
		open = append(open, connection)
	}
	c.mutex.Unlock()
	for _, connection := range open {
		apply(connection)
	}
}

// applyLimits makes a connection that waits for a request keep the limits that are now in force.
func (c *conn) applyLimits() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.limited.blocked {
		// An error means that the connection has been closed.
		_ = c.Conn.SetReadDeadline(c.limited.tracker.Deadline(c.server.Limits()))
	}
	if c.http2.idle != nil && c.http2.streams == 0 {
		c.awaitStream()
	}
}

// limitsNextRead reports whether limits apply to the next read, which is for the head of a request.
func (c *conn) limitsNextRead() bool {
	if !c.server.limitsHeads() || c.passThrough || c.limited.serving || c.aborted {
		return false
	}
	c.limited.tracker.Await(time.Now())
	return c.limited.tracker.InHead()
}

// countTaken counts bytes that net/http takes.
func (c *conn) countTaken(data []byte) {
	if !c.server.limitsHeads() || c.passThrough || len(data) == 0 {
		return
	}
	c.limited.verdict = c.limited.tracker.Take(data, c.afterHead, c.headLimits(), time.Now())
}

// headLimits returns the limits on the head that net/http reads next.
func (c *conn) headLimits() requestlimits.Limits {
	limits := c.server.Limits()
	if c.startedBytes > 0 {
		// The request was started early, within the limit then in force, and may have run.
		limits.HeadBytes = requestlimits.MaxHeadBytes
	}
	return limits
}

// untilBodyEnd returns how many bytes of data net/http may get at once. What follows the body of the request that is being
// served belongs to the next head: a refusal of that head would be read as the response to the request being served.
func (c *conn) untilBodyEnd(data []byte) int {
	if !c.server.limitsHeads() || c.passThrough {
		return len(data)
	}
	return c.limited.tracker.BodyEnd(data)
}

// checkTaken returns the result of a Read. Bytes of a head that is too large do not reach net/http. The mutex must be
// held; it is released while the response is written.
func (c *conn) checkTaken(n int, err error) (int, error) {
	if c.limited.verdict != requestlimits.Wait {
		return 0, c.refuse(c.limited.verdict)
	}
	return n, err
}

// lastReadTime is the time for a last read of an idle connection that is to be closed. A daemon that had no
// processor for a while, or whose machine was suspended, may find the timer expired although a request arrived in time.
const lastReadTime = 10 * time.Millisecond

// readWithinLimits reads from the connection. If net/http waits for a head, it returns once the time for it or for an idle
// connection is over. The mutex must be held; it is released while it blocks.
func (c *conn) readWithinLimits(target []byte) (int, error) {
	lastRead := false
	for {
		limited := c.limitsNextRead()
		if limited {
			deadline := c.limited.tracker.Deadline(c.server.Limits())
			if lastRead {
				deadline = time.Now().Add(lastReadTime)
			}
			// An error means that the connection has been closed, which the read reports.
			_ = c.Conn.SetReadDeadline(deadline)
		}
		c.limited.blocked = limited
		c.mutex.Unlock()
		n, err := c.Conn.Read(target)
		c.mutex.Lock()
		c.limited.blocked = false
		if !limited || n > 0 || c.closed || c.aborted || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		verdict := c.limited.tracker.Expired(c.server.Limits(), time.Now())
		switch {
		case verdict == requestlimits.Wait: // the limits have changed, or the timer was early
			lastRead = false
		case verdict != requestlimits.Close:
			return 0, c.refuse(verdict)
		case !lastRead && c.limited.tracker.Idle():
			lastRead = true
		default:
			c.server.closedIdle.Inc(1)
			return 0, err
		}
	}
}

const (
	// refusalTimeout bounds the time to write a refusal, and then to read what the caller still sends: a connection that
	// is closed with unread bytes is reset, and the caller may lose the response.
	refusalTimeout = 500 * time.Millisecond
	// maxDiscardedBytes bounds what is read after a refusal.
	maxDiscardedBytes = 1 << 20
)

// refuse answers a request whose head does not keep the limits, and ends the connection. It is called in a Read of
// net/http, which has then written all responses to earlier requests, and writes nothing after the error that refuse
// returns. The mutex must be held; it is released while refuse blocks.
func (c *conn) refuse(verdict requestlimits.Verdict) error {
	c.limited.refused.Store(true)
	c.discardStarted()
	response := c.server.options.RefuseHead(verdict, c.RemoteAddr().String(), c.head.current())
	c.mutex.Unlock()
	defer c.mutex.Lock()
	deadline := time.Now().Add(refusalTimeout)
	// The caller may have closed the connection, so that no error is of interest.
	_ = c.Conn.SetDeadline(deadline)
	if _, err := c.Conn.Write(response); err == nil {
		_ = c.CloseWrite()
		_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardedBytes)
	}
	// net/http answers any other error than a timeout.
	return os.ErrDeadlineExceeded
}

// PlainRefusal returns the response that net/http gives to a request that it refuses before a handler sees it.
func PlainRefusal(status int) []byte {
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	return []byte("HTTP/1.1 " + text + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" + text)
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	if c.limited.refused.Load() {
		return 0, net.ErrClosed
	}
	// A caller that does not read must not delay others that send ahead.
	c.tracked.EndTurn()
	c.tracked.BeginWrite()
	n, err := c.Conn.Write(data)
	c.tracked.EndWrite(err == nil)
	return n, err
}

// CloseWrite ends the sending direction, if the connection supports that. net/http uses it for connections that it
// closes before the caller has sent all of a request.
func (c *conn) CloseWrite() error {
	c.tracked.EndServing()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
