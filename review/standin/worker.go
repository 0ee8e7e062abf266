package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker as PROTOCOL.md tells it: it keeps its entry in the store, answers
// health checks and works on requests. serve handles one request of a client.
type worker struct {
	store                      *store
	service, id, address, path string // path is the health path
	dialed                     string // the address in its entry; empty: address
	slots                      int
	serve                      func(w *worker, request *http.Request, conn net.Conn, reader *bufio.Reader) (keep bool)

	mutex     sync.Mutex
	state     string
	born      int64
	sequence  int
	listener  net.Listener
	conns     map[net.Conn]bool
	running   int
	stopBeats chan struct{}
}

const heartbeat = 1500 * time.Millisecond

// start begins a run of the worker.
func (w *worker) start() {
	listener, err := net.Listen("tcp", w.address)
	must(err)
	w.mutex.Lock()
	w.listener, w.conns, w.state, w.sequence, w.running = listener, make(map[net.Conn]bool), "ready", 0, 0
	w.born, w.stopBeats = time.Now().UnixMilli(), make(chan struct{})
	stop := w.stopBeats
	w.mutex.Unlock()
	w.beat()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
				w.beat()
			}
		}
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			w.mutex.Lock()
			w.conns[conn] = true
			w.mutex.Unlock()
			go w.serveConn(conn)
		}
	}()
}

// beat writes the worker's entry.
func (w *worker) beat() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.sequence++
	address := w.dialed
	if address == "" {
		address = w.address
	}
	return w.store.put("servers", w.id, map[string]any{
		"address": address, "born": w.born,
		"info":   map[string]any{"service": w.service, "version": "v1", "zone": "a", "slots": w.slots},
		"status": map[string]any{"state": w.state, "seq": w.sequence, "warmupLeftS": 0},
	})
}

// crash ends the run as a killed process does: its port refuses connections, and its connections are
// reset. It says nothing.
func (w *worker) crash() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	close(w.stopBeats)
	w.listener.Close()
	for conn := range w.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	w.conns = nil
}

func (w *worker) begin() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running++
}

func (w *worker) end() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.running--
}

// load returns the value of Server-Load.
func (w *worker) load() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return fmt.Sprintf("%d,%d,%d", min(w.running, w.slots), max(w.running-w.slots, 0), w.slots)
}

func (w *worker) serveConn(conn net.Conn) {
	defer conn.Close()
	defer func() {
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
		switch {
		case request.URL.Path == w.path:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: %s\r\nContent-Length: 0\r\n\r\n", w.id, w.load())
		case request.Header.Get("Expected-Instance") != "" && request.Header.Get("Expected-Instance") != w.id:
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Request-Id"), w.id)
		default:
			w.begin()
			keep := w.serve(w, request, conn, reader)
			w.end()
			if !keep {
				return
			}
		}
	}
}

// answerHead returns the head of a whole answer with a length.
func (w *worker) answerHead(request *http.Request, length int) string {
	return strings.Join([]string{
		"HTTP/1.1 200 OK", "Request-Id: " + request.Header.Get("Request-Id"), "Server-Stamp: " + w.id + "." + request.Header.Get("Request-Id"),
		"Server-Load: " + w.load(), "Content-Length: " + strconv.Itoa(length), "", "",
	}, "\r\n")
}
