package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The figures of the case.
const (
	earlyClients = 8
	earlyRounds  = 4
	// The bodies are as large as what the system holds of a connection whose other side does not read, and from less to more than
	// that by these bytes: the daemon then waits to write the end of some of them when the answer comes.
	earlyLess, earlyMore, earlyStep = 32 << 10, 128 << 10, 4 << 10
	// earlyAnswer is when a worker answers after the first byte, and earlyReads when it goes on to read after that.
	earlyAnswer, earlyReads = 300 * time.Millisecond, 200 * time.Millisecond
	// earlySettle is the time for workers to read what was sent last.
	earlySettle = 2 * time.Second
)

// heldBytes returns how many bytes of a connection are held if its other side reads nothing.
func heldBytes() (int, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.DialTimeout("tcp", listener.Addr().String(), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	held, piece := 0, make([]byte, 16<<10)
	for {
		written, err := conn.Write(piece)
		held += written
		if err != nil {
			return held, nil
		}
	}
}

// uploadBody returns a body in which each position can be told from others.
func uploadBody(size int) []byte {
	var body bytes.Buffer
	for offset := 0; body.Len() < size; offset += 8 {
		fmt.Fprintf(&body, "%08d", offset)
	}
	return body.Bytes()[:size]
}

// receivedBody is what a worker got of a body.
type receivedBody struct {
	bytes int
	other bool // other bytes than those sent were among them
	err   error
}

// uploads are the uploads of a run.
type uploads struct {
	mutex    sync.Mutex
	body     []byte                  // of the largest upload; the others are its beginnings
	sizes    map[string]int          // of the bodies, by request
	received map[string]receivedBody // by request
	accepted map[string]bool         // sent whole, and answered with a success
	others   map[string]int          // what else was answered
}

func (u *uploads) noteSent(id string, size int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.sizes[id] = size
}

func (u *uploads) noteReceived(id string, received []byte, err error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.received[id] = receivedBody{bytes: len(received), other: !bytes.HasPrefix(u.body, received), err: err}
}

func (u *uploads) noteAnswer(id string, status int, sentWhole bool, err error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if status == http.StatusOK && sentWhole && err == nil {
		u.accepted[id] = true
		return
	}
	u.others[fmt.Sprintf("status %d, whole body sent %v, whole answer %v", status, sentWhole, err == nil)]++
}

// playEarlyClose lets workers answer before they have read a long body, with answers that close the connection, and go on reading.
func playEarlyClose(s *site, trouble bool) (result, error) {
	held, err := heldBytes()
	if err != nil {
		return result{}, err
	}
	s.record.add("a connection whose other side reads nothing holds %d bytes", held)
	u := &uploads{body: uploadBody(held + earlyMore), sizes: make(map[string]int), received: make(map[string]receivedBody), accepted: make(map[string]bool), others: make(map[string]int)}
	answer := func(w *worker, conn net.Conn, request *http.Request) bool {
		id := request.Header.Get("Request-Id")
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nConnection: close\r\nContent-Length: 8\r\n\r\naccepted", id, w.id, id)
		received := make([]byte, 1)
		if _, err := io.ReadFull(request.Body, received); err != nil {
			return false
		}
		if trouble {
			time.Sleep(earlyAnswer)
			if _, err := io.WriteString(conn, head); err != nil {
				return false
			}
			time.Sleep(earlyReads)
		}
		rest, err := io.ReadAll(request.Body)
		u.noteReceived(id, append(received, rest...), err)
		if !trouble {
			_, _ = io.WriteString(conn, head)
		}
		return false
	}
	s.configure([]route{{name: "price-correction", prefix: "/correction/", kind: "unsafe", service: "restate", timeout: 4, target: 1, priority: 1, attempts: 2}}, nil)
	if err := s.addWorkers("restate", 4, 6, answer); err != nil {
		return result{}, err
	}
	if err := s.startDaemons(2); err != nil {
		return result{}, err
	}
	sizes := make(chan int)
	var clients sync.WaitGroup
	for index := range earlyClients {
		clients.Go(func() {
			c := &uploader{address: s.daemons[index%len(s.daemons)].caller}
			defer c.close()
			for size := range sizes {
				id := newRequestID("upload")
				u.noteSent(id, size)
				status, sentWhole, err := c.upload(id, u.body[:size])
				u.noteAnswer(id, status, sentWhole, err)
			}
			time.Sleep(earlySettle) // the caller stays
		})
	}
	for range earlyRounds {
		for size := held - earlyLess; size <= held+earlyMore; size += earlyStep {
			sizes <- size
		}
	}
	close(sizes)
	clients.Wait()
	return u.judge(s.record), nil
}

// judge records what became of the uploads, and applies the rule.
func (u *uploads) judge(r *record) result {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	cut, other := 0, 0
	for _, id := range slices.Sorted(maps.Keys(u.accepted)) {
		got, found := u.received[id]
		if found && got.bytes == u.sizes[id] && !got.other {
			r.add("%s: sent whole (%d bytes), 200; the worker got all of it", id, u.sizes[id])
			continue
		}
		if got.other {
			other++
		} else {
			cut++
		}
		r.add("%s: sent whole (%d bytes), 200; the worker got %d bytes, other bytes among them %v, then: %v", id, u.sizes[id], got.bytes, got.other, got.err)
	}
	for what, count := range u.others {
		r.add("%d other uploads: %s", count, what)
	}
	finding := fmt.Sprintf("%d uploads were sent whole and answered with a success; the worker got only a part of the body of %d of them, and other bytes in %d", len(u.accepted), cut, other)
	return result{broken: cut+other > 0, finding: finding}
}

// uploader is a client that keeps its connection for its next request.
type uploader struct {
	address string
	conn    net.Conn // nil: there is none
	reader  *bufio.Reader
}

func (c *uploader) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *uploader) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// upload sends a long body and reads the answer, which may come before the body was sent.
func (c *uploader) upload(id string, body []byte) (status int, sentWhole bool, err error) {
	if err := c.connect(); err != nil {
		return 0, false, err
	}
	keep := false
	defer func() {
		if !keep {
			c.close()
		}
	}()
	conn := c.conn
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /correction/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n", siteHost, id, len(body)); err != nil {
		return 0, false, err
	}
	sent := make(chan error, 1)
	go func() {
		_, err := conn.Write(body)
		sent <- err
	}()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	writeErr := <-sent
	keep = err == nil && writeErr == nil && !response.Close
	return response.StatusCode, writeErr == nil, err
}
