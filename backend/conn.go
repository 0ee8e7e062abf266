package backend

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/framing"
	"github.com/tuliphall/tuliphall/network"
)

// errSealed is returned by writes to a connection that was abandoned before
// anything of the request was written.
const errSealed = errors.ConstError("connection abandoned")

// trackedConn counts reads and writes, to determine after a failure whether any
// byte of the request may have been sent.
type trackedConn struct {
	net.Conn
	reads atomic.Int64 // reads that returned at least one byte
	// unanswered: something was written since the last such read.
	unanswered atomic.Bool

	mutex        sync.Mutex
	writes       int64  // started
	sealed       bool   // no further write is allowed
	responseHead []byte // the part read so far of the current response's head
	recording    bool   // the head is not complete
	writing      bool   // a write is in progress
	writeErr     error  // of the first write that failed because of the server or the network
	writeEnded   sync.Cond

	upload       *uploadState // the body of the current request
	requestHead  int64        // length of the head of the current request; 0: not known
	written      int64        // bytes of the current request
	early        bool         // the response came before the end of the body was written
	abandoned    bool         // the rest of the body is not sent
	closePending bool         // the transport has closed the connection, which is kept open for the rest of the body
}

// Write implements net.Conn. A write counts when it starts, as a failed one may
// have sent some bytes.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.writing = true
	c.mutex.Unlock()
	c.unanswered.Store(true)
	n, err := c.Conn.Write(data)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writing = false
	c.countWritten(data[:n])
	if c.writeErr == nil && !isLocal(err) {
		c.writeErr = err
	}
	c.writeEnded.Broadcast()
	return n, err
}

// isLocal reports whether an error stems from a deadline or a Close of this side.
func isLocal(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

// countWritten counts bytes of the current request. The mutex must be held.
func (c *trackedConn) countWritten(data []byte) {
	if c.written == 0 && c.upload.length > 0 {
		// The transport writes a head in one piece, unless it is longer than its buffer.
		if length, complete := framing.HeadLength(data); complete {
			c.requestHead = int64(length)
		}
	}
	c.written += int64(len(data))
}

// bodyWritten reports whether the whole body of the current request has been written, as far as that is known: the transport
// writes the last part of a body after it has read the end of it. The mutex must be held.
func (c *trackedConn) bodyWritten() bool {
	length := c.upload.length
	return length == 0 || length > 0 && c.requestHead > 0 && c.written >= c.requestHead+length
}

// Close implements net.Conn. What was written of a request that is given up without a response is
// discarded: on a link that has failed, it would arrive once the link works again, and run. If the response came before
// the end of the request's body, the connection stays open until the body has been sent.
func (c *trackedConn) Close() error {
	if c.keepOpen() {
		return nil
	}
	if c.unanswered.Load() {
		network.AbortOnClose(c.Conn)
	}
	return c.Conn.Close()
}

// Read implements net.Conn. The system reports a reset only once: if a write has met it, a read returns io.EOF, as after
// a clean close. Read returns an error then, since the server may have sent only a part of its response.
func (c *trackedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.reads.Add(1)
		c.unanswered.Store(false)
		c.recordHead(data[:n])
	}
	if err == io.EOF {
		err = c.verifyEnd()
	}
	return n, err
}

// writeReturnTimeout limits the time to wait for a write that may have met a reset, and then returns at once. A write
// that is still blocked has met none.
const writeReturnTimeout = time.Second

// verifyEnd returns io.EOF if no write on the connection has failed. It blocks while a write is in progress, for
// at most writeReturnTimeout. In a head, the end is an error in any case.
func (c *trackedConn) verifyEnd() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.recording {
		return io.EOF
	}
	timedOut := false
	timer := time.AfterFunc(writeReturnTimeout, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		timedOut = true
		c.writeEnded.Broadcast()
	})
	defer timer.Stop()
	for c.writing && !timedOut {
		c.writeEnded.Wait()
	}
	if c.writeErr != nil {
		return errors.Annotate(c.writeErr, "connection broke while the request was being sent")
	}
	return io.EOF
}

// maxKeptHead is the capacity of the largest buffer that is kept for the next response head.
const maxKeptHead = 4 << 10

// recordHead records bytes that were read until the response head is complete. The transport accepts no longer ones than
// maxHeadBytes.
func (c *trackedConn) recordHead(read []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.recording {
		return
	}
	c.responseHead = append(c.responseHead, read[:min(len(read), maxHeadBytes-len(c.responseHead))]...)
	if length, complete := framing.HeadLength(c.responseHead); complete {
		c.responseHead, c.recording = c.responseHead[:length], false
		c.early = !c.upload.ended.Load() || !c.bodyWritten()
	}
}

// begin starts to record the head of the response to a request, whose body is sent as an upload.
func (c *trackedConn) begin(sent *uploadState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.responseHead, c.recording = c.responseHead[:0], true
	c.upload, c.early = sent, false
	c.requestHead, c.written = 0, 0
}

// checkResponseHead stops recording and returns an error if the response must not be
// forwarded.
func (c *trackedConn) checkResponseHead() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recording = false
	err := framing.CheckResponse(c.responseHead)
	if cap(c.responseHead) > maxKeptHead {
		c.responseHead = nil
	}
	return err
}

func (c *trackedConn) writesStarted() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writes
}

// seal reports whether no write has started since writesStarted returned
// writesBefore. If so, it rejects all later writes: the transport writes in its own
// goroutine and could otherwise still send the request.
func (c *trackedConn) seal(writesBefore int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.writes != writesBefore {
		return false
	}
	c.sealed = true
	return true
}

func dialer(base network.Network, timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		conn, err := base.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		tracked := &trackedConn{Conn: conn}
		tracked.writeEnded.L = &tracked.mutex
		return tracked, nil
	}
}
