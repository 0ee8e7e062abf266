package soak

import (
	"net/http"
	"strconv"
	"time"
)

// Request limit that a back end sends with its responses, and the bound that daemons must keep.
const (
	limitPerSecond     = 3.0
	limitFaultDuration = 10 * time.Second
	limitWindow        = 4 * time.Second
	limitGracePeriod   = 3 * time.Second // after it began to send the limit
	// maxLimitedArrivals is how many requests it may get in a window after the grace period.
	maxLimitedArrivals = int(1.5*limitPerSecond*4) + 5
)

// limit records since when a back end sends a request limit, and the arrivals of the last window.
type limit struct {
	since    time.Time // zero: it sends no limit
	arrivals []time.Time
}

// setLimit makes the back end send a request limit, or stop sending it.
func (w *worker) setLimit(on bool) {
	w.limit = limit{}
	if on {
		w.limit.since = time.Now()
	}
}

// countLimited counts a request or probe that arrives while the back end sends a request limit.
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
	if now.Sub(w.limit.since) > limitGracePeriod+limitWindow {
		w.report.recordLimitedArrival(w.id, len(recent))
	}
}

// writeLimitHeader sets the header with the request limit, if the back end sends one.
func (w *worker) writeLimitHeader(header http.Header) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.limit.since.IsZero() {
		header.Set("Server-Limit", strconv.FormatFloat(limitPerSecond, 'f', -1, 64))
	}
}

// recordLimitedArrival records how many requests and probes a back end that sends a request limit got in
// the last window.
func (r *report) recordLimitedArrival(worker string, count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts["at a limited back end"]++
	if count > maxLimitedArrivals && r.faultFreeFor() > limitWindow+settleTime {
		r.addViolation("LIMIT: %s takes %g requests a second and got %d in %s", worker, limitPerSecond, count, limitWindow)
	}
}
