package fakenet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// errReset is the error at both ends of a reset connection.
const errReset = errors.ConstError("connection reset")

// chunk is data in transit.
type chunk struct {
	data    []byte
	arrival time.Time // time of arrival
}

// stream is one direction of a connection. Writes never block, so no lock is held
// in virtual time while data is in transit.
type stream struct {
	mutex    sync.Mutex
	chunks   []chunk
	endErr   error // io.EOF, net.ErrClosed or errReset; nil: open
	deadline time.Time
	notify   chan struct{} // has capacity 1
}

func newStream() *stream {
	return &stream{notify: make(chan struct{}, 1)}
}

func (s *stream) wake() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// end ends the stream. Only a reset discards data in transit.
func (s *stream) end(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.endErr != nil {
		return
	}
	s.endErr = err
	if err == errReset {
		s.chunks = nil
	}
	s.wake()
}

func (s *stream) write(data []byte, arrival time.Time) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.endErr != nil {
		return errReset
	}
	s.chunks = append(s.chunks, chunk{data: append([]byte(nil), data...), arrival: arrival})
	s.wake()
	return nil
}

func (s *stream) setDeadline(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deadline = at
	s.wake()
}

// tryRead reads data that has arrived. If there is none, it returns the maximum time to
// wait; 0 means until the next change.
func (s *stream) tryRead(data []byte) (n int, wait time.Duration, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if !s.deadline.IsZero() && !now.Before(s.deadline) {
		return 0, 0, os.ErrDeadlineExceeded
	}
	if len(s.chunks) > 0 && !now.Before(s.chunks[0].arrival) {
		first := &s.chunks[0]
		n = copy(data, first.data)
		if first.data = first.data[n:]; len(first.data) == 0 {
			s.chunks = s.chunks[1:]
		}
		return n, 0, nil
	}
	if len(s.chunks) == 0 && s.endErr != nil {
		return 0, 0, s.endErr
	}
	if len(s.chunks) > 0 {
		wait = s.chunks[0].arrival.Sub(now)
	}
	if !s.deadline.IsZero() && (wait == 0 || s.deadline.Sub(now) < wait) {
		wait = s.deadline.Sub(now)
	}
	return 0, wait, nil
}

// conn is one end of a connection.
type conn struct {
	net    *Net
	local  *Host
	remote *Host
	in     *stream
	out    *stream
	aborts atomic.Bool // Close discards what has not arrived
}

// connect returns both ends of a new connection.
func (n *Net) connect(from, to *Host) (client, server *conn) {
	forward, backward := newStream(), newStream()
	client = &conn{net: n, local: from, remote: to, in: backward, out: forward}
	server = &conn{net: n, local: to, remote: from, in: forward, out: backward}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conns[client] = true
	return client, server
}

// Read implements net.Conn. No data arrives while either host is frozen, but a local
// host that is not frozen can still close the connection or reach its deadline.
func (c *conn) Read(data []byte) (int, error) {
	for {
		if thaw := c.local.thawed(); thaw != nil {
			<-thaw
			continue
		}
		if thaw := c.remote.thawed(); thaw != nil {
			wait, err := c.in.tryReadWhilePeerFrozen()
			if err != nil {
				return 0, err
			}
			c.in.await(wait, thaw)
			continue
		}
		if fault, changed := c.net.linkState(c.local.name, c.remote.name); fault == LinkSilent {
			wait, err := c.in.tryReadWhilePeerFrozen()
			if err != nil {
				return 0, err
			}
			c.in.await(wait, changed)
			continue
		}
		n, wait, err := c.in.tryRead(data)
		if n > 0 || err != nil {
			return n, err
		}
		c.in.await(wait, nil)
	}
}

// tryReadWhilePeerFrozen is tryRead while no data can arrive: only a local close or the deadline ends the read.
func (s *stream) tryReadWhilePeerFrozen() (wait time.Duration, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.endErr == net.ErrClosed {
		return 0, s.endErr
	}
	if s.deadline.IsZero() {
		return 0, nil
	}
	wait = time.Until(s.deadline)
	if wait <= 0 {
		return 0, os.ErrDeadlineExceeded
	}
	return wait, nil
}

// await waits for a change, for the peer to be unfrozen, or for the given time if it is above 0.
func (s *stream) await(wait time.Duration, thaw <-chan struct{}) {
	var timeout <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-s.notify:
	case <-thaw:
	case <-timeout:
	}
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	if err := c.out.write(data, time.Now().Add(c.net.latency)); err != nil {
		return 0, err
	}
	c.local.bytesSent.Add(int64(len(data)))
	return len(data), nil
}

// SetLinger sets what Close does with data that has not arrived at the other side, as net.TCPConn does: with 0 it is
// discarded.
func (c *conn) SetLinger(seconds int) error {
	c.aborts.Store(seconds == 0)
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.net.mutex.Lock()
	delete(c.net.conns, c)
	c.net.mutex.Unlock()
	if c.aborts.Load() {
		c.out.end(errReset)
	} else {
		c.out.end(io.EOF)
	}
	c.in.end(net.ErrClosed)
	return nil
}

// SetDeadline implements net.Conn. Writes never block, so only the read deadline matters.
func (c *conn) SetDeadline(at time.Time) error {
	return c.SetReadDeadline(at)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.in.setDeadline(at)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error {
	return nil
}

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.remote.ip, 0))
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.local.ip, 0))
}
