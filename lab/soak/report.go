package soak

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/resultcode"
)

// Bounds of the guarantees to users.
const (
	drainBound  = 2*time.Second + time.Second // after the store lists it as draining; includes one second of propagation
	configBound = 2 * time.Second
	// evacuationBound is how long after its evacuation a zone may still get requests.
	evacuationBound = 5 * time.Second
	// settleTime is the time after the last fault from which on bounded guarantees hold again.
	settleTime = 6 * time.Second
)

// maxViolations is the maximum number of violations that are kept.
const maxViolations = 20

// report collects what callers and back ends observe, and checks the guarantees against it.
// It is safe for concurrent use.
type report struct {
	progress  io.Writer
	startedAt time.Time

	mutex        sync.Mutex
	requests     map[string]*request
	crashes      map[string]*crashRecord // by path
	counts       map[string]int
	violations   []string
	activeFaults int // unplanned faults in progress
	lastFaultEnd time.Time

	activeOperations          int // faults and planned operations other than floods
	lastOperationEnd          time.Time
	activeFloods              int
	floodChangedAt            time.Time // last start or end of a flood
	duringFlood, withoutFlood tally
}

// request is one request of a caller.
type request struct {
	unsafe              bool
	daemon              string // incarnation of the daemon that it was sent through
	sentAt              time.Time
	executions          int
	silentArrivals      int  // times that a back end held it without an answer
	reportedNotExecuted bool // the caller was told that it did not run
}

func newReport(progress io.Writer) *report {
	now := time.Now()
	return &report{progress: progress, startedAt: now, requests: make(map[string]*request), crashes: make(map[string]*crashRecord), counts: make(map[string]int), lastFaultEnd: now, lastOperationEnd: now}
}

func (r *report) log(format string, arguments ...any) {
	fmt.Fprintf(r.progress, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// addViolation records and logs the violation of a guarantee. The caller must hold the mutex.
func (r *report) addViolation(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, text)
	}
	r.log("BROKEN %s", text)
}

func (r *report) count(event string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts[event]++
}

// beginFault records the start of an unplanned fault. The returned function records its
// end.
func (r *report) beginFault() (ended func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.activeFaults++
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.activeFaults--
		r.lastFaultEnd = time.Now()
	}
}

// faultFreeFor returns the time since the last unplanned fault, 0 during one. The caller must hold the
// mutex.
func (r *report) faultFreeFor() time.Duration {
	if r.activeFaults > 0 {
		return 0
	}
	return time.Since(r.lastFaultEnd)
}

// recordSent records a request before it is sent through an incarnation of a daemon.
func (r *report) recordSent(id, daemon string, unsafe bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests[id] = &request{unsafe: unsafe, daemon: daemon, sentAt: time.Now()}
	r.counts["sent"]++
}

// recordExecution records that a back end has begun to run a request.
func (r *report) recordExecution(id, path string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	request, known := r.requests[id]
	if !known {
		r.addViolation("UNASKED: a back end ran %s %s, which no caller sent", id, path)
		return
	}
	request.executions++
	r.checkSentOnce(request, id, path)
	if request.reportedNotExecuted {
		r.addViolation("REFUSED: %s %s ran after its caller was told that it had not run", id, path)
	}
}

// recordDrainingArrival records the arrival of a request at a back end that has been
// draining for the given time.
func (r *report) recordDrainingArrival(worker, id string, age time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts["at a leaving back end"]++
	if age > drainBound && r.faultFreeFor() > age+settleTime {
		r.addViolation("DRAIN: %s reached %s %s after it began to drain", id, worker, age)
	}
}

// recordEvacuatedArrival records the arrival of a request at a back end whose zone has been evacuated for
// the given time.
func (r *report) recordEvacuatedArrival(worker, id string, age time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts["at an evacuated zone"]++
	if age > evacuationBound && r.faultFreeFor() > settleTime {
		r.addViolation("EVACUATED: %s reached %s %s after its zone was evacuated", id, worker, age)
	}
}

// recordResponse records the response that a caller got, and checks that it belongs to the request.
func (r *report) recordResponse(id, path string, response *http.Response, responseBody string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	request := r.requests[id]
	r.counts[fmt.Sprintf("status %d", response.StatusCode)]++
	notExecuted := response.Header.Get(resultcode.HeaderRun) == string(resultcode.NotRun)
	switch response.StatusCode {
	case http.StatusOK:
		if responseBody != expectedBody(id, path) {
			r.addViolation("MIXED: %s %s got a body of %d bytes that is not the expected one", id, path, len(responseBody))
		}
		if echoedID := response.Header.Get("Request-Id"); echoedID != id {
			r.addViolation("MIXED: %s %s got the response to request %q", id, path, echoedID)
		}
		return
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		notExecuted = true
	}
	if notExecuted {
		request.reportedNotExecuted = true
		if request.executions > 0 {
			r.addViolation("REFUSED: %s %s was reported as not run with status %d, but had run", id, path, response.StatusCode)
		}
		if request.silentArrivals > 0 {
			r.addViolation("SILENT: %s %s was reported as not run with status %d, but had been sent to a back end that did not answer", id, path, response.StatusCode)
		}
	}
}

// recordNoResponse records a request whose connection ended before the complete response.
// stopping is set if its daemon was in a planned stop.
func (r *report) recordNoResponse(id, path string, stopping bool, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts["no answer"]++
	request := r.requests[id]
	if stopping && request.executions > 0 && r.faultFreeFor() > time.Since(request.sentAt)+settleTime {
		r.addViolation("LOST: %s %s was interrupted by a planned stop: %v", id, path, err)
	}
}

// print logs the event counts and the number of violations.
func (r *report) print(seed uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.log("seed %d: %v, %d violations", seed, r.counts, len(r.violations))
}
