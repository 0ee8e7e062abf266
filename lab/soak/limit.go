package soak

import (
	"net/http"
	"strconv"
	"time"
)

// A back end that asks for fewer requests, and what the users promise to it.
const (
	limitPerSecond = 3.0
	limitLength    = 10 * time.Second
	limitWindow    = 4 * time.Second
	limitInForce   = 3 * time.Second // after it first said so
	// limitBound is how many requests it may get in a window from then on.
	limitBound = int(1.5*limitPerSecond*4) + 5
)

// limit is what a back end says of how many requests it takes, and what it got since.
type limit struct {
	since    time.Time // zero: it says nothing
	arrivals []time.Time
}

// setLimit makes the back end say so, or not any more.
func (w *worker) setLimit(on bool) {
	w.limit = limit{}
	if on {
		w.limit.since = time.Now()
	}
}

// countLimited counts something that arrives at a back end which asks for fewer requests.
func (w *worker) countLimited() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.limit.since.IsZero() {
		return
	}
	now := time.Now()
	recent := append(w.limit.arrivals, now)
	for now.Sub(recent[0]) >= limitWindow {
		recent = recent[1:]
	}
	w.limit.arrivals = recent
	if now.Sub(w.limit.since) > limitInForce+limitWindow {
		w.report.arrivedAtLimited(w.id, len(recent))
	}
}

// nameLimit says how many requests the back end takes, if it says so now.
func (w *worker) nameLimit(header http.Header) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.limit.since.IsZero() {
		header.Set("Server-Limit", strconv.FormatFloat(limitPerSecond, 'f', -1, 64))
	}
}

// arrivedAtLimited notes how many requests and probes a limited back end got in the last window.
func (r *report) arrivedAtLimited(worker string, count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts["at a limited back end"]++
	if count > limitBound && r.calmFor() > limitWindow+settleTime {
		r.violated("LIMIT: %s takes %g a second and got %d in %s", worker, limitPerSecond, count, limitWindow)
	}
}
