package fakenet

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// errReset is what both ends of a cut connection get.
const errReset = errors.ConstError("connection reset")

// chunk is a piece of data on its way.
type chunk struct {
	data []byte
	at   time.Time // when it arrives
}

// stream is one direction of a connection. Writing never blocks, so that no lock
// is held in virtual time while data is on its way.
type stream struct {
	mutex    sync.Mutex
	chunks   []chunk
	ended    error // io.EOF or errReset; nil: open
	deadline time.Time
	changed  chan struct{} // room for one
}

func newStream() *stream {
	return &stream{changed: make(chan struct{}, 1)}
}

func (s *stream) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// end ends the stream; data on its way is lost by a reset only.
func (s *stream) end(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended != nil {
		return
	}
	s.ended = err
	if err == errReset {
		s.chunks = nil
	}
	s.signal()
}

func (s *stream) write(data []byte, at time.Time) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended != nil {
		return errReset
	}
	s.chunks = append(s.chunks, chunk{data: append([]byte(nil), data...), at: at})
	s.signal()
	return nil
}

func (s *stream) setDeadline(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deadline = at
	s.signal()
}

// tryRead reads what has arrived. When nothing has, it returns how long to wait at
// most; 0 means until something changes.
func (s *stream) tryRead(data []byte) (n int, wait time.Duration, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	if !s.deadline.IsZero() && !now.Before(s.deadline) {
		return 0, 0, os.ErrDeadlineExceeded
	}
	if len(s.chunks) > 0 && !now.Before(s.chunks[0].at) {
		first := &s.chunks[0]
		n = copy(data, first.data)
		if first.data = first.data[n:]; len(first.data) == 0 {
			s.chunks = s.chunks[1:]
		}
		return n, 0, nil
	}
	if len(s.chunks) == 0 && s.ended != nil {
		return 0, 0, s.ended
	}
	if len(s.chunks) > 0 {
		wait = s.chunks[0].at.Sub(now)
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
}

// connect makes both ends of a connection.
func (n *Net) connect(from, to *Host) (near, far *conn) {
	there, back := newStream(), newStream()
	near = &conn{net: n, local: from, remote: to, in: back, out: there}
	far = &conn{net: n, local: to, remote: from, in: there, out: back}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.conns[near] = true
	return near, far
}

// Read implements net.Conn. Nothing arrives while either host is frozen; a host that is
// not can still give the connection up.
func (c *conn) Read(data []byte) (int, error) {
	for {
		if thaw := c.local.thaw(); thaw != nil {
			<-thaw
			continue
		}
		if thaw := c.remote.thaw(); thaw != nil {
			wait, err := c.in.tryNothing()
			if err != nil {
				return 0, err
			}
			c.in.await(wait, thaw)
			continue
		}
		n, wait, err := c.in.tryRead(data)
		if n > 0 || err != nil {
			return n, err
		}
		c.in.await(wait, nil)
	}
}

// tryNothing is tryRead while nothing can arrive: only the reader's own side can end it.
func (s *stream) tryNothing() (wait time.Duration, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended == net.ErrClosed {
		return 0, s.ended
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

// await waits for a change or a thaw, or at most for the given time if it is above 0.
func (s *stream) await(wait time.Duration, thaw <-chan struct{}) {
	var over <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		over = timer.C
	}
	select {
	case <-s.changed:
	case <-thaw:
	case <-over:
	}
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	if err := c.out.write(data, time.Now().Add(c.net.latency)); err != nil {
		return 0, err
	}
	c.local.sent.Add(int64(len(data)))
	return len(data), nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.net.mutex.Lock()
	delete(c.net.conns, c)
	c.net.mutex.Unlock()
	c.out.end(io.EOF)
	c.in.end(net.ErrClosed)
	return nil
}

// SetDeadline implements net.Conn. Writing never blocks.
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
