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

// Bounds of a back end.
const (
	workerSlots = 3
	workerQueue = 6
	workTime    = 15 * time.Millisecond
	slowTimes   = 20
)

// worker is a stand-in for one back end, behind a proxy. It is safe for concurrent use.
type worker struct {
	id     string
	zone   string
	born   int64 // Unix milliseconds
	server *http.Server
	proxy  *proxy
	report *report
	slots  chan struct{}
	crash  func(one *worker, path string) // ends the back end under a request

	mutex   sync.Mutex
	waiting int
	slow    bool
	loses   bool
	full    bool
	lies    bool
	leaves  bool      // its answers say so
	left    time.Time // since when the store says that it leaves; zero: it does not
	// evacuated is since when the store says that its zone is; zero: it does not.
	evacuated time.Time
	limit     limit
	pushback  pushback
	// leaving is since when its answers say that it leaves; zero: they do not.
	leaving time.Time
}

func startWorker(id, address, proxyAddress string, report *report) (*worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, born: time.Now().UnixMilli(), report: report, slots: make(chan struct{}, workerSlots)}
	w.server = &http.Server{Handler: w}
	if w.proxy, err = startProxy(proxyAddress, listener.Addr().String()); err != nil {
		listener.Close()
		return nil, err
	}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

func (w *worker) address() string {
	return w.proxy.listener.Addr().String()
}

func (w *worker) change(apply func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	apply()
}

// end ends the worker at once, as a crash would.
func (w *worker) end() {
	w.server.Close()
	w.proxy.close()
}

// body is the answer that belongs to a request.
func body(id, path string) string {
	sum := sha256.Sum256([]byte(id + " " + path))
	return strings.Repeat(hex.EncodeToString(sum[:]), 8)
}

// sayLeaving says that the back end leaves, if it does, and returns since when an answer says so; zero: none does.
func (w *worker) sayLeaving(header http.Header) (since time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.leaves {
		return time.Time{}
	}
	if w.leaving.IsZero() {
		w.leaving = time.Now()
	}
	header.Set("Server-Leaving", "1")
	return w.leaving
}

// enter takes a place in the queue, and says whether there was one.
func (w *worker) enter() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.full || w.waiting >= workerSlots+workerQueue {
		return false
	}
	w.waiting++
	return true
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d,100", len(w.slots), workerSlots))
	w.countLimited()
	w.nameLimit(rw.Header())
	if r.URL.Path == "/health" {
		rw.Header().Set("Instance-Id", w.id)
		return
	}
	w.mutex.Lock()
	slow, loses, lies, left, evacuated := w.slow, w.loses, w.lies, w.left, w.evacuated
	w.mutex.Unlock()
	if r.Header.Get("Expected-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !left.IsZero() {
		w.report.arrivedAtLeaving(w.id, id, time.Since(left))
	}
	if since := w.sayLeaving(rw.Header()); !since.IsZero() {
		w.report.arrivedAtLeaving(w.id, id, time.Since(since))
	}
	if w.pushesBack(rw.Header(), id) {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !evacuated.IsZero() {
		w.report.arrivedAtEvacuated(w.id, id, time.Since(evacuated))
	}
	if !w.enter() {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.change(func() { w.waiting-- })
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slots }()
	w.report.ran(id, r.URL.Path)
	if isCrashing(r.URL.Path) {
		w.report.arrivedCrashing(r.URL.Path)
		time.Sleep(workTime)
		w.crash(w, r.URL.Path)
		panic(http.ErrAbortHandler)
	}
	work := workTime
	if slow {
		work *= slowTimes
	}
	time.Sleep(work)
	if loses {
		panic(http.ErrAbortHandler)
	}
	if lies {
		rw.Header().Set("Request-Id", "another")
	}
	rw.Header().Set("Server-Stamp", w.id)
	fmt.Fprint(rw, body(id, r.URL.Path))
}
