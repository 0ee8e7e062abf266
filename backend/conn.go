package backend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

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
	}
	return n, err
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
