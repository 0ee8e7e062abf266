package pipelining

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/overload"
	"github.com/tuliphall/tuliphall/wait"
)

// http2Preface is how an HTTP/2 connection begins, and no HTTP/1 request does.
const http2Preface = "PRI "

// http2Conn is the state of a connection on which HTTP/2 may be spoken.
type http2Conn struct {
	matched int // bytes of http2Preface that the connection began with; -1: it is HTTP/1
	spoken  bool
	// handedOver: another server serves the connection from now on, and the server that accepted it is about to close it.
	handedOver bool
	frames     frameMeter
	reserved   int64 // memory for requests that need more than the allowances while they arrive
	ctx        context.Context
	cancel     context.CancelFunc
	// streams is the number of requests in progress, and idle closes the connection once there has been none for the idle
	// timeout; nil: there was no request yet.
	streams     int
	manyStreams bool // there were more than maxStreams, and there have been some since
	idle        *time.Timer
	idleSince   time.Time
}

// detect compares the beginning of the connection with http2Preface. found reports that all of it has been read; before is the
// part of it that was read before data. Every byte at the beginning of the connection passes through detect.
func (h *http2Conn) detect(data []byte) (before string, found bool) {
	if h.matched < 0 || h.matched == len(http2Preface) {
		return "", false
	}
	before, rest := http2Preface[:h.matched], http2Preface[h.matched:]
	compared := min(len(data), len(rest))
	if string(data[:compared]) != rest[:compared] {
		h.matched = -1
		return "", false
	}
	h.matched += compared
	return before, h.matched == len(http2Preface)
}

// isHandedOver reports whether Close is called by the server that has handed the connection over, which happens once.
func (h *http2Conn) isHandedOver() bool {
	handedOver := h.handedOver
	h.handedOver = false
	return handedOver
}

// http2LargeBytes is the memory of a connection whose requests need more than the allowances while they arrive: a head of the
// largest size and what is received of bodies that are not read.
const http2LargeBytes = 256 << 10

const (
	// largeTimeout is how long a connection waits for the memory of what has arrived on it before it is closed. Callers that are closed
	// at once come back at once.
	largeTimeout = time.Second
	// largeRetryInterval is how often a connection that waits tries again.
	largeRetryInterval = 50 * time.Millisecond
)

// awaitLarge waits for the memory for what has arrived on the connection, and reports whether it has it. The mutex must be held; it is
// released while awaitLarge blocks.
func (c *conn) awaitLarge() bool {
	deadline := time.Now().Add(largeTimeout)
	for !c.reserveLarge() {
		c.mutex.Unlock()
		wait.Sleep(c.http2.ctx, largeRetryInterval)
		c.mutex.Lock()
		if c.closed || time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// reserveLarge reserves the memory for what has arrived on the connection, and reports whether it has it. The mutex must be held.
func (c *conn) reserveLarge() bool {
	if !c.http2.frames.large || c.http2.reserved > 0 {
		return true
	}
	if !c.tracked.Reserve(http2LargeBytes) {
		return false
	}
	c.http2.reserved = http2LargeBytes
	return true
}

// beginHTTP2 is called when the connection has turned out to be one of HTTP/2; data are the bytes read last, and before those of
// the preface that the server that accepted the connection has got. It reports whether that server does not serve the
// connection. The mutex must be held; it is released while beginHTTP2 blocks.
func (c *conn) beginHTTP2(before string, data []byte) (handedOver bool) {
	c.passThrough, c.http2.spoken = true, true
	c.http2.frames.count([]byte(before))
	c.http2.frames.count(data)
	c.http2.ctx, c.http2.cancel = context.WithCancel(context.Background())
	c.mutex.Unlock()
	mayStay := c.tracked.BeginHTTP2()
	c.mutex.Lock()
	if !mayStay || !c.awaitLarge() {
		return true
	}
	if c.server.limitsHeads() {
		// An error means that the connection has been closed.
		_ = c.Conn.SetReadDeadline(time.Time{})
		c.http2.idleSince = time.Now()
		c.awaitStream()
	}
	listener := c.server.http2Listener.Load()
	if listener == nil {
		return false
	}
	c.readAhead.append([]byte(before))
	c.readAhead.append(data)
	c.http2.handedOver = true
	if !listener.offer(c) {
		c.http2.handedOver = false
	}
	return true
}

// endHTTP2 ends the observation of the connection. The mutex must be held.
func (c *conn) endHTTP2() {
	if c.http2.idle != nil {
		c.http2.idle.Stop()
	}
	if c.http2.cancel != nil {
		c.http2.cancel()
	}
}

// awaitFrames waits until the daemon may spend processor time on the frames that begin in data, and reports whether there is memory
// for what belongs to them. The mutex must be held; it is released while awaitFrames blocks.
func (c *conn) awaitFrames(data []byte) bool {
	if !c.http2.spoken {
		return true
	}
	cost := c.http2.frames.count(data)
	if cost == 0 {
		return true
	}
	weight := c.http2.frames.weight()
	c.mutex.Unlock()
	c.tracked.AwaitFrames(c.http2.ctx, cost, weight)
	c.mutex.Lock()
	return c.awaitLarge()
}

// streamBytes is the memory of a request with a small head: its goroutine, its buffers and a response that is not taken. The
// first request in progress has an allowance.
const streamBytes = 32 << 10

// maxStreams is the number of requests of a connection at the same time that are treated as those of others.
const maxStreams = 1

// beginStream notes a request over HTTP/2, and reports whether there is memory for it. endStream must be called with the
// memory that was reserved.
func (c *conn) beginStream(r *http.Request) (reserved int64, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	reserved = overload.HeadMemory(r)
	if c.http2.streams > 0 {
		reserved += streamBytes
	}
	ok = c.tracked.Reserve(reserved)
	if !ok {
		reserved = 0
	}
	c.http2.streams++
	c.http2.manyStreams = c.http2.manyStreams || c.http2.streams > maxStreams
	c.tracked.SetAhead(c.http2.manyStreams || c.http2.frames.givesUpMost())
	c.tracked.SetPhase(overload.Serving)
	return reserved, ok
}

func (c *conn) endStream(reserved int64) {
	c.tracked.Release(reserved)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.http2.streams--
	if c.http2.frames.endRequest() {
		c.tracked.Release(c.http2.reserved)
		c.http2.reserved = 0
	}
	if c.http2.streams == 0 {
		c.http2.manyStreams = false
		c.tracked.SetPhase(overload.Idle)
		c.http2.idleSince = time.Now()
		c.awaitStream()
	}
}

// awaitStream closes an HTTP/2 connection when it has been idle for the idle timeout. The mutex must be held.
func (c *conn) awaitStream() {
	timeout := c.server.Limits().IdleTimeout
	if c.http2.idle == nil {
		c.http2.idle = time.AfterFunc(time.Hour, c.closeIdle)
	}
	if timeout == 0 || c.closed {
		c.http2.idle.Stop()
		return
	}
	c.http2.idle.Reset(time.Until(c.http2.idleSince.Add(timeout)))
}

// closeIdle closes an HTTP/2 connection if it is idle.
func (c *conn) closeIdle() {
	c.mutex.Lock()
	timeout := c.server.Limits().IdleTimeout
	idle := c.http2.streams == 0 && timeout > 0 && time.Since(c.http2.idleSince) >= timeout
	c.mutex.Unlock()
	if idle {
		c.server.closedIdle.Inc(1)
		c.Close()
	}
}

// serveStream serves a request over HTTP/2.
func (s *Server) serveStream(c *conn, w http.ResponseWriter, r *http.Request) {
	reserved, ok := c.beginStream(r)
	defer func() { c.endStream(reserved) }()
	if !ok {
		s.options.RefuseStream(w, r)
		return
	}
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = &streamBody{ReadCloser: r.Body, conn: c}
	}
	writer := &streamWriter{ResponseWriter: w, connection: c.tracked}
	s.options.Handler.ServeHTTP(writer, r)
	// Memory is reserved until the caller has taken the response. An error means that the stream has ended.
	_ = writer.FlushError()
}

// streamBody counts what is read of a body.
type streamBody struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *streamBody) Read(target []byte) (int, error) {
	n, err := b.ReadCloser.Read(target)
	b.conn.mutex.Lock()
	defer b.conn.mutex.Unlock()
	b.conn.http2.frames.bodies = max(b.conn.http2.frames.bodies-n, 0)
	return n, err
}

// streamWriter notes how long the caller has taken nothing of the responses of its connection.
type streamWriter struct {
	http.ResponseWriter
	connection *overload.Connection
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *streamWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// streamBufferBytes is how much of a response net/http buffers. A write that fits into the buffer does not tell whether the caller
// takes anything.
const streamBufferBytes = 4 << 10

// Write implements http.ResponseWriter.
func (w *streamWriter) Write(data []byte) (int, error) {
	if len(data) <= streamBufferBytes {
		return w.ResponseWriter.Write(data)
	}
	w.connection.BeginWrite()
	n, err := w.ResponseWriter.Write(data)
	w.connection.EndWrite(err == nil)
	return n, err
}

// FlushError implements flushing for http.ResponseController.
func (w *streamWriter) FlushError() error {
	w.connection.BeginWrite()
	err := http.NewResponseController(w.ResponseWriter).Flush()
	w.connection.EndWrite(err == nil)
	return err
}

// http2Listener passes connections on to the server for HTTP/2.
type http2Listener struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
	address     net.Addr
}

// maxHandedOver is the number of connections that wait for the server for HTTP/2.
const maxHandedOver = 128

// HTTP2Listener returns the listener of another http.Server, which must use the Server's ConnContext too: it gets the
// connections of inner, a listener that is served by the first one, on which HTTP/2 is spoken. Their heads can then have
// other limits. Without it, the first http.Server serves them.
func (s *Server) HTTP2Listener(inner net.Listener) net.Listener {
	l := &http2Listener{connections: make(chan net.Conn, maxHandedOver), closed: make(chan struct{}), address: inner.Addr()}
	s.http2Listener.Store(l)
	return l
}

// offer passes a connection on, and reports whether it could. It does not block.
func (l *http2Listener) offer(c net.Conn) bool {
	select {
	case <-l.closed:
		return false
	default:
	}
	select {
	case l.connections <- c:
		return true
	default:
		return false
	}
}

// Accept implements net.Listener.
func (l *http2Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *http2Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *http2Listener) Addr() net.Addr { return l.address }
