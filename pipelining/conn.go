package pipelining

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/framing"
	"github.com/tuliphall/tuliphall/overload"
)

// conn is a caller's connection as net/http reads it. Each Read returns bytes up to the end
// of the next head at most, so that while a request without a body is being served, the
// bytes that were read beyond it begin with the next request.
//
// While a handler runs, net/http reads one byte in the background to detect that the caller
// closes the connection. Such a Read does not return when bytes arrive: conn buffers them and
// starts the requests in them until net/http aborts the read to continue with the next
// request. If a version of net/http read differently, requests would be started later or not
// at all, and nothing else would change.
type conn struct {
	net.Conn
	server *Server

	mutex           sync.Mutex
	deadlineChanged sync.Cond // signals a new read deadline
	aborted         bool      // the read deadline has passed
	scanner         headScanner
	http2           http2Conn
	passThrough     bool         // another protocol than HTTP/1.1 is spoken, or may be soon
	afterHead       bool         // the last byte that net/http read ended a head
	head            headRecorder // of the request that net/http comes to next
	gate            headGate     // of the same head
	readAhead       buffer       // bytes that net/http has not read yet
	// readAheadReserved is the memory that is reserved for readAhead.
	readAheadReserved int64
	mayStart          bool            // requests after the one being served may be started
	handlerReturned   bool            // the handler of the request being served has returned
	started           []*earlyRequest // in order; their bytes come first in readAhead
	startedBytes      int             // bytes in readAhead of the requests in started
	lastStarted       bool            // no more requests may be started
	sendsAhead        bool            // the caller has sent many requests ahead, and has not waited for a response since
	ended             bool            // no further request is read
	closed            bool            // by either side
	limited           limitedConn     // applies the limits on requests
	tracked           *overload.Connection
	cancelTurn        context.CancelFunc // ends the wait for the turn of a request; nil: none waits
	cancel            context.CancelFunc
	earlyCtx          context.Context // of the requests started early; nil: there were none
}

// newConn returns an accepted connection; nil: it was closed, as there are too many.
func newConn(inner net.Conn, server *Server) *conn {
	c := &conn{Conn: inner, server: server}
	c.deadlineChanged.L = &c.mutex
	// An error means that the connection has been closed.
	if c.tracked = server.options.Connections.Add(func() { _ = c.Close() }); c.tracked == nil {
		inner.Close()
		return nil
	}
	server.connections.add(c)
	return c
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// Read implements net.Conn. It is called by one goroutine at a time.
func (c *conn) Read(target []byte) (int, error) {
	c.mutex.Lock()
	if len(target) == 1 && c.afterHead && !c.passThrough {
		return c.backgroundRead(target)
	}
	c.mayStart = false
	c.tracked.BeginReading()
	if !c.limited.serving {
		c.tracked.EndServing()
	}
	if c.readAhead.size() > 0 || !c.limited.tracker.AtHead() {
		c.yield()
	}
	defer c.mutex.Unlock()
	for {
		if c.limited.refused.Load() {
			return 0, os.ErrDeadlineExceeded
		}
		if c.ended {
			return 0, io.EOF
		}
		if n := c.takeReadAhead(target); n > 0 {
			return c.completeRead(n, nil)
		}
		if c.readAhead.size() > 0 {
			if err := c.gatherHead(); err != nil {
				c.handleReadError(err)
				return 0, err
			}
			continue
		}
		n, err := c.readWithinLimits(target)
		if err != nil {
			c.handleReadError(err)
		}
		if n < maxBacklog {
			c.sendsAhead = false
		}
		if !c.awaitFrames(target[:n]) {
			return 0, io.EOF
		}
		if before, found := c.http2.detect(target[:n]); found && c.beginHTTP2(before, target[:n]) {
			return 0, io.EOF
		}
		if n = c.splitAfterHead(target[:n]); n > 0 || err != nil {
			return c.completeRead(n, err)
		}
	}
}

// completeRead returns the result of a Read. A head whose caller has sent many requests ahead is passed on when it is the turn of
// its request. The mutex must be held; it is released while completeRead blocks.
func (c *conn) completeRead(n int, err error) (int, error) {
	n, err = c.checkTaken(n, err)
	if err == nil && c.afterHead && c.sendsAhead && !c.passThrough && !c.awaitTurn() {
		return 0, net.ErrClosed
	}
	return n, err
}

// yield lets the goroutines of other connections run. A caller whose requests or parts of a body have arrived already, so
// that reading them does not block, would otherwise keep the processor. The mutex must be held; it is released meanwhile.
func (c *conn) yield() {
	c.mutex.Unlock()
	runtime.Gosched()
	c.mutex.Lock()
}

// takeReadAhead moves bytes that were read ahead to target, up to the end of a head at most,
// and returns how many.
func (c *conn) takeReadAhead(target []byte) int {
	if c.readAhead.size() == 0 {
		return 0
	}
	n := c.pass(target[:copy(target, c.readAhead.bytes())])
	c.advance(n)
	c.startedBytes = max(c.startedBytes-n, 0)
	return n
}

// splitAfterHead returns how many of the bytes just read net/http gets now, which is up to the
// end of a head at most. It adds the rest to readAhead.
func (c *conn) splitAfterHead(data []byte) int {
	end := c.pass(data)
	c.readAhead.append(data[end:])
	return end
}

// backgroundRead reads ahead while a request is being served, and starts the requests that may
// be started. It returns when net/http aborts the read, when the connection ends, or with a
// byte of the next request once the handler has returned. The mutex must be held; it is
// released.
func (c *conn) backgroundRead(target []byte) (int, error) {
	defer c.mutex.Unlock()
	c.handlerReturned = false // the read was begun for the next request
	for {
		if c.handlerReturned && c.readAhead.size() > 0 {
			return c.takeReadAhead(target), nil
		}
		c.startRequests()
		if c.waitForSpace() {
			return 0, os.ErrDeadlineExceeded
		}
		if err := c.readMore(target); err != nil {
			c.handleReadError(err)
			return 0, err
		}
	}
}

// readSize is the least buffer space for a read beyond the first byte: it holds the heads of
// several requests.
const readSize = 2 << 10

// readMore reads from the connection and adds the bytes to readAhead. It releases the mutex
// while it blocks. If readAhead is empty, it reads one byte into first, so that a connection
// whose caller does not pipeline needs no memory for a buffer.
func (c *conn) readMore(first []byte) error {
	ahead := c.readAhead.size() > 0
	into := first
	if ahead {
		into = c.readAhead.space()
	}
	c.mutex.Unlock()
	n, err := c.Conn.Read(into)
	c.mutex.Lock()
	if ahead {
		c.readAhead.extend(n)
	} else {
		c.readAhead.append(first[:n])
	}
	return err
}

// waitForSpace blocks while MaxReadAheadBytes are read ahead, or no memory can be reserved for more, and reports whether
// net/http aborted the read.
func (c *conn) waitForSpace() bool {
	for !c.aborted && (c.readAhead.size() >= c.server.options.MaxReadAheadBytes || c.readAhead.size() > 0 && !c.growReadAhead()) {
		c.deadlineChanged.Wait()
	}
	return c.aborted
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	c.aborted = !deadline.IsZero() && !time.Now().Before(deadline)
	c.deadlineChanged.Broadcast()
	defer c.mutex.Unlock()
	if !c.aborted {
		deadline = c.deadlineOf(deadline)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mutex.Lock()
	if c.http2.isHandedOver() {
		c.mutex.Unlock()
		return nil
	}
	c.terminate()
	c.mutex.Unlock()
	c.server.connections.remove(c)
	c.tracked.Remove()
	return c.Conn.Close()
}

// handleReadError cancels the caller's requests, unless the error is a timeout: net/http then
// aborted the read, and the caller may still be connected.
func (c *conn) handleReadError(err error) {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return
	}
	c.terminate()
}

func (c *conn) terminate() {
	c.closed = true
	c.endHTTP2()
	c.discardStarted()
	if c.gate.cancel != nil {
		c.gate.cancel()
	}
	if c.cancelTurn != nil {
		c.cancelTurn()
	}
	c.tracked.EndTurn()
	if !c.limited.serving {
		c.tracked.ReleaseHead()
	}
	if c.cancel != nil {
		c.cancel()
	}
}

// discardStarted aborts the requests that were started early and that net/http has not come to.
func (c *conn) discardStarted() {
	for _, early := range c.started {
		early.abort()
		c.server.release()
	}
	c.started, c.startedBytes = nil, 0
}

// begin is called when net/http has come to a request, before its handler. It returns the
// request if it was started early; nil: it was not.
func (c *conn) begin(r *http.Request) *earlyRequest {
	mayStart := hasNoBody(r) && !r.Close && r.ProtoAtLeast(1, 1) && c.server.options.Repeatable(r)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.mayStart, c.handlerReturned = mayStart, false
	c.passThrough = c.passThrough || r.Header.Get("Upgrade") != ""
	c.limited.tracker.Begin(r.ContentLength)
	c.limited.serving = true
	c.tracked.SetPhase(overload.Serving)
	c.tracked.EndHead()
	c.sendsAhead = c.sendsAhead || hasNoBody(r) && c.hasBacklog()
	c.tracked.SetAhead(c.sendsAhead)
	if !hasNoBody(r) {
		c.tracked.EndTurn()
	}
	var found *earlyRequest
	if len(c.started) > 0 {
		if c.started[0].matches(r, c.server.options.IDHeader) {
			found = c.started[0]
			c.started = c.started[1:]
			c.server.release()
		} else {
			c.discardStarted()
		}
	}
	c.startRequests()
	return found
}

// finish is called when the handler has returned. Bytes that arrive from now on may be from a
// caller that has already read the whole response: net/http comes to them at once. The end of the response may not have been
// written yet: that is done once net/http reads again, or ends the sending direction.
func (c *conn) finish() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.mayStart, c.handlerReturned, c.limited.serving = false, true, false
	c.tracked.ReleaseHead()
	c.tracked.EndTurn()
}

// closeAfter reports whether the connection can be closed after the request that is being
// served, because none after it was started. If so, none will be.
func (c *conn) closeAfter() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.started) > 0 {
		return false
	}
	c.lastStarted = true
	return true
}

// startRequests starts the requests in readAhead, up to the first that may not be started.
func (c *conn) startRequests() {
	for c.mayStartNext() {
		var scanner headScanner
		rest := c.readAhead.bytes()[c.startedBytes:]
		end := scanner.end(rest)
		if end < 0 || !overload.IsSmallHead(end, bytes.Count(rest[:end], []byte{'\n'})) {
			return
		}
		request := parseHead(rest[:end])
		if request == nil || !c.server.Limits().HeadFits(end) || c.server.checksHeads() && framing.CheckRequest(rest[:end]) != nil || !c.server.reserve(request) {
			return
		}
		c.lastStarted = c.lastStarted || request.Close
		c.start(request)
		c.startedBytes += end
	}
}

func (c *conn) mayStartNext() bool {
	if (c.sendsAhead || c.hasBacklog()) && !c.server.options.HasSpareCapacity() {
		return false
	}
	return c.mayStart && c.afterHead && !c.closed && !c.lastStarted &&
		c.readAhead.size() > c.startedBytes && len(c.started) < c.server.options.MaxPerConnection
}

func (c *conn) start(request *http.Request) {
	if c.earlyCtx == nil {
		c.earlyCtx, c.cancel = context.WithCancel(overload.NewContext(context.Background(), c.tracked))
	}
	ctx, cancel := context.WithCancel(c.earlyCtx)
	if c.sendsAhead || c.hasBacklog() {
		ctx = overload.NewAheadContext(ctx)
	}
	request.RemoteAddr = c.RemoteAddr().String()
	early := newEarlyRequest(request.WithContext(ctx), cancel, c.server.options)
	c.started = append(c.started, early)
	go early.run(c.server.options.Handler)
}
