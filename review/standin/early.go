package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	earlyPiece    = 8 << 10 // bytes sent at a time
	earlyPause    = 2 * time.Millisecond
	earlyAnswer   = 40000 // bytes of a worker's answer with a length
	earlyRequests = 20
	// The long bodies: one with a length, and one in chunks, of which the last pieces are sent with pauses.
	lengthBody  = 160 << 10
	chunkedBody = 1200 << 10
	pacedBytes  = 160 << 10
)

// isChunked reports whether the body of a request is sent in chunks, by its id.
func isChunked(id string) bool { return strings.HasPrefix(id, "chunks") }

// lengthOf returns the length of the body of a request, by its id.
func lengthOf(id string) int {
	if isChunked(id) {
		return chunkedBody
	}
	return lengthBody
}

// bodyOf returns the body that belongs to a request id: each word of eight bytes tells the id and its
// offset.
func bodyOf(id string, length int) []byte {
	hash := fnv.New32a()
	io.WriteString(hash, id)
	body := make([]byte, length)
	for offset := 0; offset < length; offset += 8 {
		binary.BigEndian.PutUint32(body[offset:], hash.Sum32())
		binary.BigEndian.PutUint32(body[offset+4:], uint32(offset))
	}
	return body
}

// earlyCounts counts what workers received of the bodies.
type earlyCounts struct {
	whole, rightPart, otherBytes, falseEnd atomic.Int64
}

// note compares what a worker received with the body that the client sends.
func (c *earlyCounts) note(worker, id string, received []byte, err error) {
	expected := bodyOf(id, lengthOf(id))
	wrong := 0
	for wrong < len(received) && wrong < len(expected) && received[wrong] == expected[wrong] {
		wrong++
	}
	end := "the connection ended"
	if err == nil {
		end = "the body was ended as a whole one"
	}
	switch {
	case wrong < len(received):
		c.otherBytes.Add(1)
		found := "others"
		if offset := bytes.Index(expected, received[wrong:min(wrong+16, len(received))]); offset >= 0 {
			found = fmt.Sprintf("those of offset %d", offset)
		}
		record.printf("worker %s, request %s: OTHER BYTES: where the bytes of offset %d were due came %s; %d of %d bytes received; %s", worker, id, wrong, found, len(received), len(expected), end)
	case len(received) < len(expected) && err == nil:
		c.falseEnd.Add(1)
		record.printf("worker %s, request %s: FALSE END: %s after %d of %d bytes", worker, id, end, len(received), len(expected))
	case len(received) < len(expected):
		c.rightPart.Add(1)
		record.printf("worker %s, request %s: %s after %d of %d bytes, all of them right (%v)", worker, id, end, len(received), len(expected), err)
	default:
		c.whole.Add(1)
		record.printf("worker %s, request %s: received the whole body", worker, id)
	}
}

// playEarlyAnswer: workers answer before they read a long body, keep the connection and read on. What they
// then read must be the rest of that body.
func playEarlyAnswer(root string) {
	f := newFleet(root, 2)
	current = f
	var counts earlyCounts
	serve := func(w *worker, request *http.Request, conn net.Conn, reader *bufio.Reader) bool {
		id := request.Header.Get("Request-Id")
		pieces := w.wholeAnswer(request, strings.HasSuffix(id, "odd"))
		if trouble {
			writePieces(conn, pieces)
		}
		// The worker goes on reading what is due of the body.
		conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		received, err := io.ReadAll(request.Body)
		conn.SetReadDeadline(time.Time{})
		counts.note(w.id, id, received, err)
		if !trouble && err == nil {
			writePieces(conn, pieces)
		}
		return err == nil
	}
	for number := range 4 {
		w := &worker{store: f.store, service: "restate", id: fmt.Sprintf("w-%d", number+1), address: f.freeAddress(f.network + ".200"), path: "/health", slots: 3, serve: serve}
		w.start()
	}
	f.store.put("config", "main", configuration(route("corrections", "/corrections/", "unsafe", 3, 0.5, "restate")))
	f.start(true)
	f.awaitReady(15 * time.Second)
	time.Sleep(5 * time.Second)
	var clients sync.WaitGroup
	for number := range earlyRequests {
		clients.Go(func() {
			time.Sleep(time.Duration(number/2) * 300 * time.Millisecond)
			id := fmt.Sprintf("%s-%02d-%s", []string{"length", "chunks"}[number/2%2], number+1, []string{"odd", "even"}[number%2])
			front := f.daemons[number%len(f.daemons)].front
			record.printf("client: sends POST /corrections/%d, id %s, %d bytes, to %s", number+1, id, lengthOf(id), front)
			status, length, err := sendLong(front, id, fmt.Sprintf("/corrections/%d", number+1))
			record.printf("client: request %s: status %d, %d bytes of answer, error %v", id, status, length, err)
		})
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	conclude(counts.otherBytes.Load()+counts.falseEnd.Load() > 0, "of %d long bodies, workers got other bytes than were due in %d, a part that was ended as if whole in %d, a right part in %d, the whole in %d",
		earlyRequests, counts.otherBytes.Load(), counts.falseEnd.Load(), counts.rightPart.Load(), counts.whole.Load())
}

// wholeAnswer returns the pieces of a whole answer to a request: a long one with a length, or a short one in
// chunks, as a worker sends it that makes its answer bit by bit.
func (w *worker) wholeAnswer(request *http.Request, chunked bool) []string {
	if !chunked {
		return []string{w.answerHead(request, earlyAnswer) + strings.Repeat("x", earlyAnswer)}
	}
	id := request.Header.Get("Request-Id")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nTransfer-Encoding: chunked\r\n\r\n", id, w.id, id)
	return []string{head, "8\r\naccepted\r\n", "6\r\nnumber\r\n", "0\r\n\r\n"}
}

// writePieces writes the pieces of an answer, one after the other.
func writePieces(conn net.Conn, pieces []string) {
	for index, piece := range pieces {
		if index > 0 {
			time.Sleep(earlyPause)
		}
		io.WriteString(conn, piece)
	}
}

// sendLong sends a request with a long body in pieces, and reads the answer meanwhile.
func sendLong(front, id, path string) (status int, length int64, err error) {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	go writeLong(conn, id, path)
	conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0, err
	}
	length, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, length, err
}

// writeLong writes the request. It ends when the body has been sent or the connection has ended.
func writeLong(conn net.Conn, id, path string) {
	framing := fmt.Sprintf("Content-Length: %d", lengthOf(id))
	if isChunked(id) {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: prices.example\r\nRequest-Id: %s\r\nDeadline-Ms: 2500\r\n%s\r\n\r\n", path, id, framing)
	body := bodyOf(id, lengthOf(id))
	for len(body) > 0 {
		piece := body[:min(earlyPiece, len(body))]
		body = body[len(piece):]
		if isChunked(id) {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := conn.Write(piece); err != nil {
			return
		}
		if len(body) < pacedBytes {
			time.Sleep(earlyPause)
		}
	}
	if isChunked(id) {
		io.WriteString(conn, "0\r\n\r\n")
	}
}

// route returns a route of the operator's configuration.
func route(name, prefix, kind string, timeout, target float64, service string) map[string]any {
	return map[string]any{"resourceKind": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"host": "prices.example", "pathPrefix": prefix, "kind": kind, "timeoutS": timeout, "targetLatencyS": target, "priority": 1, "service": service, "maxAttempts": 2,
	}}
}

// configuration returns the operator's configuration with one route and its service.
func configuration(declared map[string]any) map[string]any {
	service := declared["spec"].(map[string]any)["service"]
	return map[string]any{"version": 7, "resources": []any{
		declared,
		map[string]any{"resourceKind": "services", "metadata": map[string]any{"name": service}, "spec": map[string]any{"healthPath": "/health", "maxConns": 260, "protocol": "h1", "tls": false}},
		map[string]any{"resourceKind": "limits", "metadata": map[string]any{}, "spec": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}},
	}}
}
