// Package testserver runs TCP servers for tests that need more control over a connection than net/http/httptest gives.
package testserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Listen calls serve in its own goroutine for each connection, until the test ends. It closes what connections are left
// then, and returns the address.
func Listen(t *testing.T, serve func(conn net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	var mutex sync.Mutex
	var accepted []net.Conn
	t.Cleanup(func() {
		listener.Close()
		mutex.Lock()
		for _, conn := range accepted {
			conn.Close()
		}
		mutex.Unlock()
		serving.Wait()
	})
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			mutex.Lock()
			accepted = append(accepted, conn)
			mutex.Unlock()
			serving.Go(func() { serve(conn) })
		}
	})
	return listener.Addr().String()
}

// Body is what a server received of a request's body; Err is nil if the body was ended as a whole one.
type Body struct {
	Data []byte
	Err  error
}

// RespondEarly starts an HTTP/1 server that writes its response as soon as it has read the head of a request, begins to read
// the body after a pause, and then serves the next request of the connection.
func RespondEarly(t *testing.T, response string, pause time.Duration) (address string, received <-chan Body) {
	t.Helper()
	return respondDuringBody(t, response, 0, pause)
}

// RespondAfterFirstByte is like RespondEarly, but the server reads the first byte of the body before it responds.
func RespondAfterFirstByte(t *testing.T, response string) (address string, received <-chan Body) {
	t.Helper()
	return respondDuringBody(t, response, 1, 0)
}

func respondDuringBody(t *testing.T, response string, readBefore int, pause time.Duration) (address string, received <-chan Body) {
	t.Helper()
	bodies := make(chan Body, 10)
	return Listen(t, func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			data := make([]byte, readBefore)
			if _, err := io.ReadFull(request.Body, data); err != nil {
				return
			}
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
			time.Sleep(pause)
			rest, err := io.ReadAll(request.Body)
			bodies <- Body{Data: append(data, rest...), Err: err}
			if err != nil {
				return
			}
		}
	}), bodies
}
