package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/internal/testserver"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/resultcode"
)

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // Close sends a reset anyway if unread bytes are left
	conn.Close()
}

// post sends a request that must not run twice.
func post(t *testing.T, client *backend.Client, body string) (*http.Response, error) {
	t.Helper()
	return client.Do(t.Context(), &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: "/"}, Header: make(http.Header),
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	})
}

// TestResetMeansOutcomeUnknown resets the connection at each stage of a request that may run only
// once. The failure must say that the outcome is unknown, and no truncated response may be
// returned.
func TestResetMeansOutcomeUnknown(t *testing.T) {
	const bodyLength = 1 << 20
	readHead := func(conn net.Conn) *http.Request {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return nil
		}
		return request
	}
	readRequest := func(conn net.Conn) {
		if request := readHead(conn); request != nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
	}
	for name, serve := range map[string]func(conn net.Conn){
		"in the request head": func(conn net.Conn) {
			_, _ = conn.Read(make([]byte, 1))
			reset(conn)
		},
		"in the request body": func(conn net.Conn) {
			if request := readHead(conn); request != nil {
				_, _ = io.CopyN(io.Discard, request.Body, bodyLength/2)
			}
			reset(conn)
		},
		"before the response": func(conn net.Conn) {
			readRequest(conn)
			reset(conn)
		},
		"in the response head": func(conn net.Conn) {
			readRequest(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Le")
			time.Sleep(10 * time.Millisecond)
			reset(conn)
		},
		"in the response body": func(conn net.Conn) {
			readRequest(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			time.Sleep(10 * time.Millisecond)
			reset(conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			client := backend.NewClient(backend.Options{Network: network.TCP{}, Address: testserver.Listen(t, serve), MaxConnections: 1})
			defer client.Close()
			_, err := post(t, client, strings.Repeat("x", bodyLength))
			var failure *backend.Failure
			require.True(t, errors.As(err, &failure), "%v", err)
			require.Equal(t, resultcode.Unknown, failure.Code.Info().Run, "%s", failure)
		})
	}
}

// TestConnectionRefusedMeansNotRun checks that a request is reported as not run if no process listens.
func TestConnectionRefusedMeansNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	listener.Close()
	client := backend.NewClient(backend.Options{Network: network.TCP{}, Address: address, MaxConnections: 1})
	defer client.Close()
	_, err = post(t, client, "x")
	var failure *backend.Failure
	require.True(t, errors.As(err, &failure), "%v", err)
	require.Equal(t, resultcode.NotRun, failure.Code.Info().Run)
}

// TestResetIdleConnectionsAreSkipped resets all idle connections at once. Once the resets have
// arrived, the next request must use a new connection instead of failing on each old one.
func TestResetIdleConnectionsAreSkipped(t *testing.T) {
	const idle = 5
	var mutex sync.Mutex
	var open []net.Conn
	arrived := make(chan struct{}, idle+1)
	release := make(chan struct{})
	address := testserver.Listen(t, func(conn net.Conn) {
		mutex.Lock()
		open = append(open, conn)
		mutex.Unlock()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				conn.Close()
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			arrived <- struct{}{}
			<-release
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := backend.NewClient(backend.Options{Network: network.TCP{}, Address: address, MaxConnections: idle + 1})
	defer client.Close()
	var sending sync.WaitGroup
	for range idle {
		sending.Go(func() {
			response, err := post(t, client, "x")
			if err == nil {
				response.Body.Close()
			}
		})
	}
	for range idle {
		<-arrived // each on its own connection
	}
	close(release)
	sending.Wait()
	mutex.Lock()
	for _, conn := range open {
		reset(conn)
	}
	mutex.Unlock()
	time.Sleep(100 * time.Millisecond) // until the resets have arrived
	response, err := post(t, client, "x")
	require.NoError(t, err)
	response.Body.Close()
}

// resetOnWrite opens connections on which a write, and not a read, meets the reset of the server.
type resetOnWrite struct {
	network.TCP
	after int           // bytes that are written before
	delay time.Duration // until the write returns
}

// Dial implements network.Network.
func (n resetOnWrite) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.TCP.Dial(ctx, address)
	return &resetOnWriteConn{Conn: conn, network: n, met: make(chan struct{})}, err
}

type resetOnWriteConn struct {
	net.Conn
	network resetOnWrite
	written int
	met     chan struct{} // closed when a write has met the reset
}

// Write implements net.Conn.
func (c *resetOnWriteConn) Write(data []byte) (int, error) {
	if c.written >= c.network.after {
		close(c.met)
		time.Sleep(c.network.delay)
		return 0, syscall.ECONNRESET
	}
	c.written += len(data)
	return c.Conn.Write(data)
}

// Read implements net.Conn.
func (c *resetOnWriteConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err == io.EOF {
		<-c.met
	}
	return n, err
}

// TestResetMetByWriteIsNotEndOfResponse guards against a part of a response without a length that is taken for the whole, because a write met the
// reset before the read did, or is about to return with it.
func TestResetMetByWriteIsNotEndOfResponse(t *testing.T) {
	for name, delay := range map[string]time.Duration{"write has failed": 0, "write in progress": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := testserver.Listen(t, func(conn net.Conn) {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				_ = conn.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
			})
			client := backend.NewClient(backend.Options{Network: resetOnWrite{after: 64 << 10, delay: delay}, Address: address, AllowUnframed: true})
			defer client.Close()
			response, err := post(t, client, strings.Repeat("x", 1<<20))
			if err == nil {
				_, err = io.ReadAll(response.Body)
				response.Body.Close()
			}
			require.Error(t, err)
		})
	}
}

// TestEndInHeadIsReportedAtOnce guards against a request that waits for a blocked write although the server has ended the connection without a
// whole head, which is a failure in any case.
func TestEndInHeadIsReportedAtOnce(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	client := backend.NewClient(backend.Options{Address: testserver.Listen(t, func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			time.Sleep(50 * time.Millisecond) // the sender fills the buffers
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
			_ = conn.(*net.TCPConn).CloseWrite()
			<-done
		}
	})})
	defer client.Close()
	began := time.Now()
	_, err := post(t, client, strings.Repeat("x", 64<<20))
	require.Error(t, err)
	require.Less(t, time.Since(began), 500*time.Millisecond)
}
