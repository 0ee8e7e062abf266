package soak

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Limits and timing of a stub back end.
const (
	workerSlots      = 3
	workerQueueLimit = 6
	workTime         = 15 * time.Millisecond
	slowdownFactor   = 20
)

// worker is a stub back end behind a proxy. It is safe for concurrent use.
type worker struct {
	id                string
	zone              string
	bornAt            int64 // Unix milliseconds
	server            *http.Server
	proxy             *proxy
	report            *report
	slots             chan struct{}
	onCrashingRequest func(w *worker, path string) // ends the back end while it runs a request

	mutex            sync.Mutex
	queued           int
	slow             bool
	dropsResponses   bool
	rejects          bool
	wrongRequestID   bool
	announcesDrain   bool      // its responses announce the drain
	drainListedSince time.Time // when the store listed it as draining; zero: it has not
	// evacuatedSince is when the evacuation of its zone was written to the store; zero: not evacuated.
	evacuatedSince time.Time
	limit          limit
	pushback       pushback
	silent         bool // holds requests without an answer when it is full
	wasSilent      bool
	runs           int // requests that it ran since the last reset
	// drainAnnouncedSince is when a response first announced the drain; zero: none has.
	drainAnnouncedSince time.Time
}

func startWorker(id, address, proxyAddress string, cuts *cutter, report *report) (*worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, bornAt: time.Now().UnixMilli(), report: report, slots: make(chan struct{}, workerSlots)}
	w.server = &http.Server{Handler: w}
	if w.proxy, err = startProxy(proxyAddress, listener.Addr().String(), cuts); err != nil {
		listener.Close()
		return nil, err
	}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

func (w *worker) address() string {
	return w.proxy.address
}

func (w *worker) update(apply func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	apply()
}

// close ends the back end at once, as a crash would.
func (w *worker) close() {
	w.server.Close()
	w.proxy.close()
}

// expectedBody returns the response body that belongs to a request.
func expectedBody(id, path string) string {
	sum := sha256.Sum256([]byte(id + " " + path))
	return strings.Repeat(hex.EncodeToString(sum[:]), 8)
}

// writeDrainHeader sets the header that announces a drain, if the back end does so, and returns when a
// response first announced it; zero: none has.
func (w *worker) writeDrainHeader(header http.Header) (since time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.announcesDrain {
		return time.Time{}
	}
	if w.drainAnnouncedSince.IsZero() {
		w.drainAnnouncedSince = time.Now()
	}
	header.Set("Server-Leaving", "1")
	return w.drainAnnouncedSince
}

// enqueue takes a position in the queue, and reports whether one was free.
func (w *worker) enqueue() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.rejects || w.queued >= workerSlots+workerQueueLimit {
		return false
	}
	w.queued++
	return true
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d,100", len(w.slots), workerSlots))
	w.countLimited()
	w.writeLimitHeader(rw.Header())
	if r.URL.Path == "/health" {
		rw.Header().Set("Instance-Id", w.id)
		return
	}
	w.mutex.Lock()
	slow, dropsResponses, wrongRequestID, drainListedSince, evacuatedSince := w.slow, w.dropsResponses, w.wrongRequestID, w.drainListedSince, w.evacuatedSince
	w.mutex.Unlock()
	if r.Header.Get("Expected-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !drainListedSince.IsZero() {
		w.report.recordDrainingArrival(w.id, id, time.Since(drainListedSince))
	}
	if since := w.writeDrainHeader(rw.Header()); !since.IsZero() {
		w.report.recordDrainingArrival(w.id, id, time.Since(since))
	}
	if w.checkPushback(rw.Header(), id) {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !evacuatedSince.IsZero() {
		w.report.recordEvacuatedArrival(w.id, id, time.Since(evacuatedSince))
	}
	if w.holdSilently(r, id) {
		return
	}
	if !w.enqueue() {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.update(func() { w.queued-- })
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slots }()
	w.report.recordExecution(id, r.URL.Path)
	w.update(func() { w.runs++ })
	if isCrashing(r.URL.Path) {
		w.report.recordCrashingArrival(r.URL.Path)
		time.Sleep(workTime)
		w.onCrashingRequest(w, r.URL.Path)
		panic(http.ErrAbortHandler)
	}
	work := workTime
	if strings.HasPrefix(r.URL.Path, floodPath) {
		work = floodWorkTime
	}
	if slow {
		work *= slowdownFactor
	}
	time.Sleep(work)
	if dropsResponses {
		panic(http.ErrAbortHandler)
	}
	if wrongRequestID {
		rw.Header().Set("Request-Id", "another")
	}
	rw.Header().Set("Server-Stamp", w.id)
	if isUpload(r.URL.Path) {
		w.receiveUpload(rw, r, id, expectedBody(id, r.URL.Path))
		return
	}
	fmt.Fprint(rw, expectedBody(id, r.URL.Path))
}
