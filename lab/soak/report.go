package soak

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/tuliphall/tuliphall/resultcode"
)

// Bounds that the users' pages give.
const (
	drainBound  = 2*time.Second + time.Second // after the store has it; one second for news
	configBound = 2 * time.Second
	// evacuationBound is how long after its evacuation a zone may get requests.
	evacuationBound = 5 * time.Second
	// settleTime is how long after the last fault bounded promises hold again.
	settleTime = 6 * time.Second
)

// maxViolations bounds what is kept of violations.
const maxViolations = 20

// report holds what callers and back ends saw, and checks it. It is safe for
// concurrent use.
type report struct {
	progress io.Writer
	begun    time.Time

	mutex      sync.Mutex
	requests   map[string]*request
	crashing   map[string]*crashing // by path
	counts     map[string]int
	violations []string
	faults     int // unplanned ones under way
	faultEnded time.Time
}

// request is one request of a caller.
type request struct {
	unsafe  bool
	through string // life of the daemon
	sent    time.Time
	runs    int
	notRun  bool // the caller was told so
}

func newReport(progress io.Writer) *report {
	now := time.Now()
	return &report{progress: progress, begun: now, requests: make(map[string]*request), crashing: make(map[string]*crashing), counts: make(map[string]int), faultEnded: now}
}

func (r *report) log(format string, arguments ...any) {
	fmt.Fprintf(r.progress, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// violated notes that a promise was broken. The caller holds the mutex.
func (r *report) violated(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, text)
	}
	r.log("BROKEN %s", text)
}

// count counts one event.
func (r *report) count(what string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts[what]++
}

// fault notes that an unplanned fault begins; its end is noted by the function
// returned.
func (r *report) fault() (ended func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults++
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.faults--
		r.faultEnded = time.Now()
	}
}

// calmFor returns for how long there has been no fault. The caller holds the mutex.
func (r *report) calmFor() time.Duration {
	if r.faults > 0 {
		return 0
	}
	return time.Since(r.faultEnded)
}

// sent notes a request before it is sent through a life of a daemon.
func (r *report) sent(id, through string, unsafe bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests[id] = &request{unsafe: unsafe, through: through, sent: time.Now()}
	r.counts["sent"]++
}

// ran notes that a back end works on a request.
func (r *report) ran(id, path string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	one, known := r.requests[id]
	if !known {
		r.violated("UNASKED: a back end ran %s %s, which nobody sent", id, path)
		return
	}
	one.runs++
	if one.unsafe && one.runs > 1 {
		r.violated("TWICE: %s %s ran %d times", id, path, one.runs)
	}
	if one.notRun {
		r.violated("REFUSED: %s %s ran after its caller was told that it did not", id, path)
	}
}

// arrivedAtLeaving notes a request at a back end that has said for so long that it
// leaves.
func (r *report) arrivedAtLeaving(worker, id string, age time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts["at a leaving back end"]++
	if age > drainBound && r.calmFor() > age+settleTime {
		r.violated("DRAIN: %s reached %s %s after it said that it leaves", id, worker, age)
	}
}

// arrivedAtEvacuated notes a request at a back end whose zone has been evacuated for so long.
func (r *report) arrivedAtEvacuated(worker, id string, age time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts["at an evacuated zone"]++
	if age > evacuationBound && r.calmFor() > settleTime {
		r.violated("EVACUATED: %s reached %s %s after its zone was evacuated", id, worker, age)
	}
}

// answered notes what a caller got.
func (r *report) answered(id, path string, response *http.Response, got string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	one := r.requests[id]
	r.counts[fmt.Sprintf("status %d", response.StatusCode)]++
	told := response.Header.Get(resultcode.HeaderRun) == string(resultcode.NotRun)
	switch response.StatusCode {
	case http.StatusOK:
		if got != body(id, path) {
			r.violated("MIXED: %s %s got %d bytes that are not its answer", id, path, len(got))
		}
		if echoed := response.Header.Get("Request-Id"); echoed != id {
			r.violated("MIXED: %s %s got the answer of %q", id, path, echoed)
		}
		return
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		told = true
	}
	if told {
		one.notRun = true
		if one.runs > 0 {
			r.violated("REFUSED: %s %s was told %d, not run, and had run", id, path, response.StatusCode)
		}
	}
}

// unanswered notes a request whose connection ended without its whole answer. stopping
// says that its daemon was being stopped as planned.
func (r *report) unanswered(id, path string, stopping bool, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts["no answer"]++
	one := r.requests[id]
	if stopping && one.runs > 0 && r.calmFor() > time.Since(one.sent)+settleTime {
		r.violated("LOST: %s %s was cut by a planned stop: %v", id, path, err)
	}
}

// print sums up.
func (r *report) print(seed uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.log("seed %d: %v, %d violations", seed, r.counts, len(r.violations))
}
