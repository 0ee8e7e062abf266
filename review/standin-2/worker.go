package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in of one server of a service. It serves one request of a connection at a time.
type worker struct {
	id, service, zone, address string
	slots                      int
	listener                   net.Listener
	record                     *record
	// answer writes the answer to a request, whose body it may read, and reports whether the connection can be used
	// for another request. It runs in the goroutine of the connection.
	answer func(w *worker, conn net.Conn, request *http.Request) bool

	mutex   sync.Mutex
	running int
	conns   map[net.Conn]struct{}
}

// startWorker serves a worker on the address and registers it in the store.
func startWorker(s *store, r *record, id, service, zone string, slots int, answer func(*worker, net.Conn, *http.Request) bool) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, slots: slots, address: listener.Addr().String(), listener: listener, record: r, answer: answer, conns: make(map[net.Conn]struct{})}
	s.put("servers", id, map[string]any{
		"address": w.address, "born": time.Now().UnixMilli(),
		"info": map[string]any{"service": service, "version": "v1", "zone": zone, "slots": slots},
	}, map[string]any{"state": "ready", "seq": 1, "warmupLeftS": 0})
	go w.accept()
	return w, nil
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mutex.Lock()
		w.conns[conn] = struct{}{}
		w.mutex.Unlock()
		go w.serve(conn)
	}
}

// close ends the worker and its connections.
func (w *worker) close() {
	_ = w.listener.Close()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for conn := range w.conns {
		_ = conn.Close()
	}
}

func (w *worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mutex.Lock()
		delete(w.conns, conn)
		w.mutex.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path == healthPath {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", w.id, w.load()); err != nil {
				return
			}
			continue
		}
		if expected := request.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", w.id, request.Header.Get("Request-Id"))
			_, _ = io.Copy(io.Discard, request.Body)
			continue
		}
		if !w.run(conn, request) {
			return
		}
	}
}

// run lets the worker run a request. Beyond its slots it rejects it.
func (w *worker) run(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	w.mutex.Lock()
	if w.running >= w.slots {
		w.mutex.Unlock()
		w.record.add("worker %s rejects %s: its slots are taken", w.id, id)
		_, _ = io.Copy(io.Discard, request.Body)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nServer-Load: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, w.load())
		return err == nil
	}
	w.running++
	w.mutex.Unlock()
	defer func() {
		w.mutex.Lock()
		w.running--
		w.mutex.Unlock()
	}()
	return w.answer(w, conn, request)
}

func (w *worker) load() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return fmt.Sprintf("%d,0,%d", w.running, w.slots)
}

// head returns the head of a success.
func (w *worker) head(request *http.Request, length int) string {
	framing := ""
	if length >= 0 {
		framing = fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nServer-Load: %s\r\n%s\r\n", request.Header.Get("Request-Id"), w.id, request.Header.Get("Request-Id"), w.load(), framing)
}
