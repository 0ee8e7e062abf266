package backend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/framing"
	"github.com/tuliphall/tuliphall/network"
)

// errSealed is returned by writes to a connection that was given up on before
// anything was written.
const errSealed = errors.ConstError("connection given up on")

// countedConn counts what passes over a connection, so that a failure can be
// told apart by whether any byte of the request left.
type countedConn struct {
	net.Conn
	reads atomic.Int64 // reads that brought at least one byte

	mutex  sync.Mutex
	writes int64 // writes begun
	sealed bool
	answer []byte // what was read of the head of the present answer
	keeps  bool   // the head has not been read whole
}

// Write implements net.Conn. A write counts from its beginning, since a failed
// one may have sent a part.
func (c *countedConn) Write(data []byte) (int, error) {
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mutex.Unlock()
	return c.Conn.Write(data)
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.reads.Add(1)
		c.keep(data[:n])
	}
	return n, err
}

// maxAnswerHead is how much is kept of an answer: more than a head has in practice, and
// less than net/http takes for one.
const maxAnswerHead = 16 << 10

// keep takes in what was read, while the head of an answer is due.
func (c *countedConn) keep(read []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.keeps {
		return
	}
	c.answer = append(c.answer, read[:min(len(read), maxAnswerHead-len(c.answer))]...)
	if length, whole := framing.HeadLength(c.answer); whole {
		c.answer, c.keeps = c.answer[:length], false
	}
}

// expectAnswer keeps what is read from now on.
func (c *countedConn) expectAnswer() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answer, c.keeps = c.answer[:0], true
}

// checkAnswer says why the answer whose head has been read must not be passed on; nil: it
// may be. Nothing is kept any more.
func (c *countedConn) checkAnswer() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.keeps = false
	return framing.CheckResponse(c.answer)
}

func (c *countedConn) begunWrites() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writes
}

// seal says whether no write has begun since the count was then, and if so lets
// none begin any more. Only thereby is "not sent" true for good: the transport
// writes in a goroutine of its own.
func (c *countedConn) seal(then int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.writes != then {
		return false
	}
	c.sealed = true
	return true
}

func dialer(over network.Network, timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		conn, err := over.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}
