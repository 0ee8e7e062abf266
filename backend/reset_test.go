package backend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/resultcode"
)

// reset ends a connection with a reset instead of an orderly close.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // closing resets all the same if unread bytes are left
	conn.Close()
}

// serveEach hands each connection to serve, one at a time a goroutine.
func serveEach(t *testing.T, serve func(conn net.Conn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var serving sync.WaitGroup
	t.Cleanup(serving.Wait)
	t.Cleanup(func() { listener.Close() })
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { serve(conn) })
		}
	})
	return listener.Addr().String()
}

// submit sends a request with a body that must not be run twice.
func submit(t *testing.T, client *backend.Client, body string) (*http.Response, error) {
	t.Helper()
	return client.Do(t.Context(), &http.Request{
		Method: http.MethodPost, URL: &url.URL{Path: "/"}, Header: make(http.Header),
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	})
}

// TestResetAtEachPoint resets the connection at each point of a request that may run once
// only: it is told that its outcome is not known, and nothing of an answer that was cut.
func TestResetAtEachPoint(t *testing.T) {
	const bodyLength = 1 << 20
	head := func(conn net.Conn) *http.Request {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return nil
		}
		return request
	}
	readWhole := func(conn net.Conn) {
		if request := head(conn); request != nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
	}
	for name, serve := range map[string]func(conn net.Conn){
		"in the head": func(conn net.Conn) {
			_, _ = conn.Read(make([]byte, 1))
			reset(conn)
		},
		"in the body": func(conn net.Conn) {
			if request := head(conn); request != nil {
				_, _ = io.CopyN(io.Discard, request.Body, bodyLength/2)
			}
			reset(conn)
		},
		"before the answer": func(conn net.Conn) {
			readWhole(conn)
			reset(conn)
		},
		"in the answer's head": func(conn net.Conn) {
			readWhole(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Le")
			time.Sleep(10 * time.Millisecond)
			reset(conn)
		},
		"in the answer's body": func(conn net.Conn) {
			readWhole(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			time.Sleep(10 * time.Millisecond)
			reset(conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			client := backend.NewClient(backend.Options{Network: network.TCP{}, Address: serveEach(t, serve), MaxConnections: 1})
			defer client.Close()
			_, err := submit(t, client, strings.Repeat("x", bodyLength))
			var failed *backend.Failure
			require.True(t, errors.As(err, &failed), "%v", err)
			require.Equal(t, resultcode.Unknown, failed.Code.Info().Run, "%s", failed)
		})
	}
}

// TestNobodyListens is told as not run.
func TestNobodyListens(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	listener.Close()
	client := backend.NewClient(backend.Options{Network: network.TCP{}, Address: address, MaxConnections: 1})
	defer client.Close()
	_, err = submit(t, client, "x")
	var failed *backend.Failure
	require.True(t, errors.As(err, &failed), "%v", err)
	require.Equal(t, resultcode.NotRun, failed.Code.Info().Run)
}

// TestDeadConnectionsAreNotTriedInTurn resets all kept connections at once: once that is
// known, the next request gets a new connection and is answered.
func TestDeadConnectionsAreNotTriedInTurn(t *testing.T) {
	const kept = 5
	var mutex sync.Mutex
	var open []net.Conn
	arrived := make(chan struct{}, kept+1)
	release := make(chan struct{})
	address := serveEach(t, func(conn net.Conn) {
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
	client := backend.NewClient(backend.Options{Network: network.TCP{}, Address: address, MaxConnections: kept + 1})
	defer client.Close()
	var sending sync.WaitGroup
	for range kept {
		sending.Go(func() {
			response, err := submit(t, client, "x")
			if err == nil {
				response.Body.Close()
			}
		})
	}
	for range kept {
		<-arrived // each on a connection of its own
	}
	close(release)
	sending.Wait()
	mutex.Lock()
	for _, conn := range open {
		reset(conn)
	}
	mutex.Unlock()
	time.Sleep(100 * time.Millisecond) // the resets are heard
	response, err := submit(t, client, "x")
	require.NoError(t, err)
	response.Body.Close()
}
