package pipelining

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/framing"
)

// conn is a caller's connection as net/http reads it. Each Read gives net/http bytes up
// to the end of the next head at most, so that while a request without a body is being
// answered, what has been read beyond it begins with the next request.
//
// net/http reads one byte in the background while a handler runs, to learn that the
// caller leaves. Such a read does not return when there are bytes: they are kept, and
// requests in them started, until net/http gives the read up to go on with the next
// request. Should net/http read in another way there, requests are started later or not
// at all, and nothing else changes.
type conn struct {
	net.Conn
	server *Server

	mutex    sync.Mutex
	wakeup   sync.Cond // tells of a new read deadline
	aborted  bool      // the read deadline has passed
	scanner  headScanner
	preface  int  // how many bytes were as at the beginning of an HTTP/2 connection
	plain    bool // another protocol than HTTP/1.1 is spoken, or may soon be
	atHead   bool // the last byte that net/http got ended a head
	head     head // of the request that net/http comes to next
	pending  []byte
	ahead    bool     // what is behind the present request may be started
	finished bool     // its handler has returned
	started  []*early // in order; the first ones in pending
	covered  int      // bytes of pending that are those of started
	last     bool     // nothing more is to be started
	left     bool     // the caller left, or the connection was closed
	cancel   context.CancelFunc
	earlyCtx context.Context // of requests that were started; nil: none was
}

func newConn(under net.Conn, server *Server) *conn {
	c := &conn{Conn: under, server: server}
	c.wakeup.L = &c.mutex
	return c
}

// Read implements net.Conn. It is called by one goroutine at a time.
func (c *conn) Read(target []byte) (int, error) {
	c.mutex.Lock()
	if len(target) == 1 && c.atHead && !c.plain {
		return c.readAhead(target)
	}
	c.ahead = false
	n := c.takePending(target)
	c.mutex.Unlock()
	if n > 0 {
		return n, nil
	}
	n, err := c.Conn.Read(target)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.leave(err)
	}
	return c.limit(target[:n]), err
}

// takePending gives out bytes that were read ahead, and returns how many.
func (c *conn) takePending(target []byte) int {
	if len(c.pending) == 0 {
		return 0
	}
	n := copy(target, c.pending)
	if end := c.scanner.end(target[:n]); end >= 0 {
		n, c.atHead = end, true
	} else {
		c.atHead = false
	}
	c.keep(target[:n])
	c.pending = c.pending[:copy(c.pending, c.pending[n:])]
	c.covered = max(c.covered-n, 0)
	return n
}

// limit returns how much of what was read net/http gets now; the rest is kept.
func (c *conn) limit(piece []byte) int {
	c.sniff(piece)
	end := c.scanner.end(piece)
	c.atHead = end >= 0
	if end < 0 {
		end = len(piece)
	}
	c.keep(piece[:end])
	c.pending = append(c.pending, piece[end:]...)
	return end
}

// http2Preface begins a connection on which HTTP/2 is spoken, and no request.
const http2Preface = "PRI "

// sniff finds out whether HTTP/2 is spoken. Every byte of a connection's beginning
// passes here.
func (c *conn) sniff(piece []byte) {
	for _, char := range piece {
		if c.preface < 0 || c.preface == len(http2Preface) {
			return
		}
		if char != http2Preface[c.preface] {
			c.preface = -1
			return
		}
		c.preface++
		c.plain = c.preface == len(http2Preface)
	}
}

// readAhead reads on while a request is being answered, and starts what may be. It
// returns when net/http gives up the read, when the caller leaves, or with a byte of the
// next request once the handler has returned. The mutex is held and is released.
func (c *conn) readAhead(target []byte) (int, error) {
	defer c.mutex.Unlock()
	c.finished = false // the read was begun for the next request
	for {
		if c.finished && len(c.pending) > 0 {
			return c.takePending(target), nil
		}
		c.startMore()
		if c.waitForRoom() {
			return 0, os.ErrDeadlineExceeded
		}
		if err := c.readSome(target); err != nil {
			c.leave(err)
			return 0, err
		}
	}
}

// readSize is how much is read at once beyond the first byte: some requests' heads.
const readSize = 2 << 10

// readSome reads what the caller sends and adds it to what is pending. It blocks without
// the mutex. A connection whose caller does not pipeline needs no memory for it: the
// first byte is read into first.
func (c *conn) readSome(first []byte) error {
	length := len(c.pending)
	into := first
	if length > 0 {
		c.pending = slices.Grow(c.pending, readSize)
		into = c.pending[length:cap(c.pending)]
	}
	c.mutex.Unlock()
	n, err := c.Conn.Read(into)
	c.mutex.Lock()
	c.pending = append(c.pending, into[:n]...)
	return err
}

// waitForRoom waits while as much is pending as may be, and says whether the read was
// given up meanwhile.
func (c *conn) waitForRoom() bool {
	for len(c.pending) >= c.server.options.MaxReadAheadBytes && !c.aborted {
		c.wakeup.Wait()
	}
	return c.aborted
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mutex.Lock()
	c.aborted = !at.IsZero() && !time.Now().Before(at)
	c.wakeup.Broadcast()
	c.mutex.Unlock()
	return c.Conn.SetReadDeadline(at)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mutex.Lock()
	c.end()
	c.mutex.Unlock()
	return c.Conn.Close()
}

// leave ends the requests of a caller that has left. A read that was only given up
// says nothing of the caller.
func (c *conn) leave(err error) {
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return
	}
	c.end()
}

func (c *conn) end() {
	c.left = true
	c.discard()
	if c.cancel != nil {
		c.cancel()
	}
}

// discard gives up the requests that were started and whose turn has not come.
func (c *conn) discard() {
	for _, one := range c.started {
		one.abandon()
		c.server.release()
	}
	c.started, c.covered = nil, 0
}

// begin notes that net/http has come to a request, and returns it if it was started
// already. The handler has not been called yet.
func (c *conn) begin(r *http.Request) *early {
	ahead := bodyless(r) && !r.Close && r.ProtoAtLeast(1, 1) && c.server.options.Repeatable(r)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ahead, c.finished = ahead, false
	c.plain = c.plain || r.Header.Get("Upgrade") != ""
	var found *early
	if len(c.started) > 0 {
		if c.started[0].same(r, c.server.options.IDHeader) {
			found = c.started[0]
			c.started = c.started[1:]
			c.server.release()
		} else {
			c.discard()
		}
	}
	c.startMore()
	return found
}

// finish notes that the handler has returned. What comes from now on may be sent by a
// caller that has got the whole answer already: net/http comes to it at once.
func (c *conn) finish() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ahead, c.finished = false, true
}

// closeAfter says whether the connection can be closed after the request that is being
// answered: none behind it has been started. If so, none will be.
func (c *conn) closeAfter() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.started) > 0 {
		return false
	}
	c.last = true
	return true
}

// startMore starts the requests that are pending, up to the first that may not be.
func (c *conn) startMore() {
	for c.mayStartMore() {
		var scanner headScanner
		rest := c.pending[c.covered:]
		end := scanner.end(rest)
		if end < 0 {
			return
		}
		request := parse(rest[:end])
		if request == nil || c.server.strict() && framing.CheckRequest(rest[:end]) != nil || !c.server.claim(request) {
			return
		}
		c.last = c.last || request.Close
		c.start(request)
		c.covered += end
	}
}

func (c *conn) mayStartMore() bool {
	return c.ahead && c.atHead && !c.left && !c.last &&
		len(c.pending) > c.covered && len(c.started) < c.server.options.MaxPerConnection
}

func (c *conn) start(request *http.Request) {
	if c.earlyCtx == nil {
		c.earlyCtx, c.cancel = context.WithCancel(context.Background())
	}
	ctx, cancel := context.WithCancel(c.earlyCtx)
	request.RemoteAddr = c.RemoteAddr().String()
	one := newEarly(request.WithContext(ctx), cancel, c.server.options)
	c.started = append(c.started, one)
	go one.run(c.server.options.Handler)
}
