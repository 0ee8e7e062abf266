package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Uint64

// newRequestID returns an id that no other request of this run has.
func newRequestID(kind string) string {
	return fmt.Sprintf("%s-%06d", kind, requestNumber.Add(1))
}

// requestText returns a request without a body.
func requestText(path, id string, deadline time.Duration) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, siteHost, id, deadline.Milliseconds())
}

// outcome is what a client saw of one request.
type outcome struct {
	id     string
	status int // 0: no answer, or only a part of one
	code   string
	bytes  int
	err    error
	took   time.Duration
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("%s: status %d, %d bytes of the body, not whole after %.3f s: %v", o.id, o.status, o.bytes, o.took.Seconds(), o.err)
	}
	return fmt.Sprintf("%s: status %d (code %s), whole, %d bytes after %.3f s", o.id, o.status, o.code, o.bytes, o.took.Seconds())
}

// whole reports whether the client got a complete answer.
func (o outcome) whole() bool { return o.err == nil }

// get sends one request on a new connection and reads the answer until it is whole, the connection ends, or the client's
// deadline has passed, when it leaves.
func get(address, path, id string, deadline time.Duration) outcome {
	started := time.Now()
	result := outcome{id: id}
	defer func() { result.took = time.Since(started) }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		result.err, result.took = err, time.Since(started)
		return result
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(started.Add(deadline))
	if _, err := io.WriteString(conn, requestText(path, id, deadline)); err != nil {
		result.err, result.took = err, time.Since(started)
		return result
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
	if err != nil {
		result.err, result.took = err, time.Since(started)
		return result
	}
	result.status, result.code = response.StatusCode, response.Header.Get("Tuliphall-Code")
	read, err := io.Copy(io.Discard, response.Body)
	result.bytes, result.err, result.took = int(read), err, time.Since(started)
	return result
}
