package abuse

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/tuliphall/tuliphall/wait"
)

// Bounds on the load of all clients of a site together.
const (
	maxBytesPerSecond = 60 << 20
	writeBurst        = 256 << 10

	defaultReconnectDelay  = 100 * time.Millisecond
	defaultConnectInterval = 200 * time.Microsecond
)

// Kind is a kind of client.
type Kind struct {
	Name        string
	Connections int
	// connectInterval is the time between two connections at first, and reconnectDelay that before a client opens a new one;
	// 0: defaults.
	connectInterval, reconnectDelay time.Duration
	// play uses one connection until it fails. The connection is closed when the clients end.
	play func(c *client) error
}

// crowd is a number of clients of one kind.
type crowd struct {
	kind    Kind
	target  string // address
	path    string // prefix of the paths of all requests
	journal *journal
	limiter *rate.Limiter

	connected atomic.Int64
	refused   atomic.Int64 // connections that were not accepted
	mutex     sync.Mutex
	statuses  map[int]int
}

// newLimiter returns the limit on the bytes that all crowds of a site send together.
func newLimiter() *rate.Limiter {
	return rate.NewLimiter(maxBytesPerSecond, writeBurst)
}

func newCrowd(kind Kind, target, path string, journal *journal, limiter *rate.Limiter) *crowd {
	return &crowd{kind: kind, target: target, path: path, journal: journal, limiter: limiter, statuses: make(map[int]int)}
}

// run plays the clients until ctx ends.
func (c *crowd) run(ctx context.Context) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for range c.kind.Connections {
		clients.Go(func() {
			for ctx.Err() == nil {
				c.connect(ctx)
				wait.Sleep(ctx, cmp.Or(c.kind.reconnectDelay, defaultReconnectDelay))
			}
		})
		if !wait.Sleep(ctx, cmp.Or(c.kind.connectInterval, defaultConnectInterval)) {
			return
		}
	}
}

func (c *crowd) connect(ctx context.Context) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.target)
	if err != nil {
		c.refused.Add(1)
		return
	}
	c.connected.Add(1)
	// The connection is reset, so that its port can be used again at once.
	_ = conn.(*net.TCPConn).SetLinger(0)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	// Each client ends with an error: its connection fails or is closed.
	_ = c.kind.play(&client{Conn: conn, ctx: ctx, crowd: c, reader: bufio.NewReader(conn)})
}

func (c *crowd) String() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return fmt.Sprintf("%d connections, %d not accepted, responses %v", c.connected.Load(), c.refused.Load(), c.statuses)
}

// client is one connection of a crowd.
type client struct {
	net.Conn
	ctx    context.Context
	crowd  *crowd
	reader *bufio.Reader
}

// send writes within the bounds of the crowd.
func (c *client) send(data []byte) error {
	for len(data) > 0 {
		part := data[:min(len(data), writeBurst)]
		if err := c.crowd.limiter.WaitN(c.ctx, len(part)); err != nil {
			return err
		}
		if _, err := c.Write(part); err != nil {
			return err
		}
		data = data[len(part):]
	}
	return nil
}

// head returns the head of a request with some more header lines, without the empty line, and the id of the request.
func (c *client) head(method, query string, lines ...string) (text, id string) {
	id = c.crowd.journal.nextID(c.crowd.path != pathOnce)
	path := c.crowd.path
	if strings.HasSuffix(path, "/") {
		path += id
	}
	text = method + " " + path + query + " HTTP/1.1\r\nHost: " + host + "\r\n" + headerRequestID + ": " + id + "\r\n"
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text, id
}

// readResponse reads the response to a request.
func (c *client) readResponse(method, id string) error {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	c.crowd.journal.recordStatus(id, response.StatusCode)
	c.crowd.mutex.Lock()
	c.crowd.statuses[response.StatusCode]++
	c.crowd.mutex.Unlock()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.Close {
		return io.EOF
	}
	return nil
}

// hold keeps the connection open, without reading, until the clients end.
func (c *client) hold() error {
	<-c.ctx.Done()
	return c.ctx.Err()
}

// holdUntilClosed keeps the connection open until the daemon closes it. It reads nothing but the response.
func (c *client) holdUntilClosed(method, id string) error {
	if err := c.readResponse(method, id); err != nil {
		return err
	}
	_, err := c.reader.ReadByte()
	return err
}
