package abuse

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and timing of a back end.
const (
	backendSlots = 3
	backendQueue = 6
	workTime     = 10 * time.Millisecond
)

// paramBytes is the query parameter with the size of the response.
const paramBytes = "bytes"

// Backend is a stub back end. It works on backendSlots requests at a time, from their first byte until their response was
// written.
type Backend struct {
	id      string
	journal *journal
	slots   chan struct{}

	mutex  sync.Mutex
	queued int
}

func newBackend(id string, journal *journal) *Backend {
	return &Backend{id: id, journal: journal, slots: make(chan struct{}, backendSlots)}
}

// enqueue takes a position in the queue, and reports whether one was free.
func (b *Backend) enqueue() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.queued >= backendSlots+backendQueue {
		return false
	}
	b.queued++
	return true
}

func (b *Backend) dequeue() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.queued--
}

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d,100", len(b.slots), backendSlots))
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !b.enqueue() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.dequeue()
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-b.slots }()
	b.journal.recordRun(id)
	sum := sha256.New()
	if _, err := io.Copy(sum, r.Body); err != nil {
		return
	}
	time.Sleep(workTime)
	w.Header().Set("Server-Stamp", b.id)
	// An error means that the caller has left.
	_, _ = io.WriteString(w, responseBody(id, r.URL.Path, hex.EncodeToString(sum.Sum(nil)), r.URL.Query().Get(paramBytes)))
}

// responseBody returns the body of the response to a request.
func responseBody(id, path, bodySum, size string) string {
	text := id + " " + path + " " + bodySum + "\n"
	if bytes, err := strconv.Atoi(size); err == nil {
		text = strings.Repeat(text, 1+bytes/len(text))
	}
	return text
}
