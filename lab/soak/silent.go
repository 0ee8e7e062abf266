package soak

import (
	"io"
	"net/http"
	"time"
)

// silentSlots is how many requests a back end that is silent when full works on at once. It goes on reporting workerSlots.
const silentSlots = 1

// setSilent makes the back end silent when it is full, or ends that. The caller must hold the mutex.
func (w *worker) setSilent(on bool) {
	w.silent, w.wasSilent = on, true
}

// holdSilently holds a request without an answer until its connection ends if the back end is silent and full, and
// reports whether it did.
func (w *worker) holdSilently(r *http.Request, id string) bool {
	w.mutex.Lock()
	full := w.silent && len(w.slots) >= silentSlots
	w.mutex.Unlock()
	if !full {
		return false
	}
	w.report.recordSilentArrival(id, r.URL.Path)
	// The server notices the end of the connection only when the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	return true
}

// occupy takes a slot for a time, if one is free. It does not block.
func (w *worker) occupy(duration time.Duration) {
	select {
	case w.slots <- struct{}{}:
		time.AfterFunc(duration, func() { <-w.slots })
	default: // it is full
	}
}

// silenceWorkers makes up to fault.Count back ends silent when full for a time.
func (f *fleet) silenceWorkers(fault Fault) {
	workers := f.currentWorkers()
	count := min(fault.Count, len(workers))
	set := func(on bool) {
		for number := range count {
			target := workers[(fault.Target+number)%len(workers)]
			target.update(func() { target.setSilent(on) })
			if on {
				// It is busy with a request of another client, and so full.
				target.occupy(fault.Duration)
			}
		}
	}
	set(true)
	time.Sleep(fault.Duration)
	set(false)
}

// recordSilentArrival records a request that a back end holds without an answer. Daemons cannot tell it from one that
// runs: it must not be refused, and if it must not be repeated, not be sent again.
func (r *report) recordSilentArrival(id, path string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts["at a silent back end"]++
	request, known := r.requests[id]
	if !known {
		r.addViolation("UNASKED: a back end got %s %s, which no caller sent", id, path)
		return
	}
	request.silentArrivals++
	if request.unsafe {
		r.counts["non-repeatable at a silent back end"]++
	}
	r.checkSentOnce(request, id, path)
	if request.reportedNotExecuted {
		r.addViolation("SILENT: %s %s was sent after its caller was told that it had not run", id, path)
	}
}

// checkSentOnce checks that a request which must not be repeated ran or was held without an answer once. The caller must hold
// the mutex.
func (r *report) checkSentOnce(request *request, id, path string) {
	if request.unsafe && request.executions+request.silentArrivals > 1 {
		r.addViolation("TWICE: %s %s ran %d times and was held without an answer %d times", id, path, request.executions, request.silentArrivals)
	}
}

// checkReuse checks that the back ends that were silent have run requests in the final flood.
func (f *fleet) checkReuse() {
	for _, w := range f.currentWorkers() {
		w.mutex.Lock()
		wasSilent, runs := w.wasSilent, w.runs
		w.mutex.Unlock()
		if wasSilent {
			f.report.recordReuse(w.id, runs)
		}
	}
}

// recordReuse records how many requests a back end has run in the final flood, long after it was silent. The flood needs
// the slots of all back ends.
func (r *report) recordReuse(worker string, runs int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.log("%s has run %d requests in the final flood", worker, runs)
	if runs == 0 {
		r.addViolation("REUSE: %s was silent when full and has run no request in the final flood", worker)
	}
}
