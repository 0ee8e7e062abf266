package backend

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/tuliphall/tuliphall/network"
)

// upload is the body of a request while the transport sends it. The transport cannot rewind it, so that it never resends a
// request.
//
// A server may respond before it has read the whole body. The transport closes such a connection shortly after the end
// of the response, also if the body is still being sent. An upload then keeps the connection open until the server has been
// sent the whole body.
type upload struct {
	*uploadState
	body       io.Reader
	readFailed atomic.Bool // the caller's body could not be read
	exchange   *exchange
	stop       func() bool // stops waiting for the end of the request's context; nil: there is no body
}

// uploadState is what a connection, which may be kept for long, holds of an upload.
type uploadState struct {
	length int64       // of the body in bytes; below 0: unknown
	ended  atomic.Bool // nothing more is read of the body
	whole  atomic.Bool // the whole body has been read
}

// Read implements io.Reader.
func (u *upload) Read(data []byte) (int, error) {
	n, err := u.body.Read(data)
	if err == io.EOF {
		u.whole.Store(true)
		u.end()
	} else if err != nil {
		u.readFailed.Store(true)
		u.end()
	}
	return n, err
}

// Close implements io.Closer. The transport calls it when it sends nothing more of the body.
func (u *upload) Close() error {
	if closer, ok := u.body.(io.Closer); ok {
		// The bodies of callers cannot fail to close.
		_ = closer.Close()
	}
	u.end()
	return nil
}

// end notes that nothing more is read of the body, and closes the connection if the transport has tried to.
func (u *upload) end() {
	if u.ended.Swap(true) {
		return
	}
	u.stop()
	if conn := u.exchange.connection(); conn != nil {
		conn.uploadEnded(u.uploadState)
	}
}

const (
	// flushDelay is the time in which the transport begins to write what it has buffered of a body that it has read to
	// its end.
	flushDelay = 250 * time.Millisecond
	// flushTimeout limits the time in which the server takes that.
	flushTimeout = 5 * time.Second
)

// keepOpen reports whether a connection that the transport closes stays open for now, because the response came before
// the end of the request's body and the body is still being sent.
func (c *trackedConn) keepOpen() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.early || c.abandoned {
		return false
	}
	if c.upload.ended.Load() && !c.upload.whole.Load() {
		return false
	}
	if !c.closePending && c.upload.ended.Load() {
		c.closeAfterFlush()
	}
	c.closePending = true
	return true
}

// uploadEnded is called when nothing more is read of a request's body.
func (c *trackedConn) uploadEnded(ended *uploadState) {
	c.mutex.Lock()
	pending := c.upload == ended && c.closePending
	c.mutex.Unlock()
	switch {
	case !pending:
	case ended.whole.Load():
		c.closeAfterFlush()
	default:
		c.abort()
	}
}

// closeAfterFlush closes the connection once the whole body has been written. It does not block.
func (c *trackedConn) closeAfterFlush() {
	// An error means that the connection has been closed.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(flushTimeout))
	time.AfterFunc(flushDelay, c.closeFlushed)
}

// closeFlushed closes the connection once the whole body has been written.
func (c *trackedConn) closeFlushed() {
	c.mutex.Lock()
	writing := c.writing
	c.mutex.Unlock()
	if writing {
		time.AfterFunc(flushDelay, c.closeFlushed)
		return
	}
	// Unlike abort, this lets what was written reach the server.
	_ = c.Conn.Close()
}

// abandonUpload closes a connection that is kept open for the rest of a body, if that body has not been read to its end.
func (c *trackedConn) abandonUpload(abandoned *uploadState) {
	c.mutex.Lock()
	if c.upload != abandoned || abandoned.whole.Load() {
		c.mutex.Unlock()
		return
	}
	c.abandoned = true
	pending := c.closePending
	c.mutex.Unlock()
	if pending {
		c.abort()
	}
}

// abort closes the connection and discards what was written and not yet sent.
func (c *trackedConn) abort() {
	network.AbortOnClose(c.Conn)
	_ = c.Conn.Close()
}
