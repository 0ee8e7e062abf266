package soak

import (
	"net/http"
	"strconv"
	"time"
)

// Timing of a back end that rejects requests and asks for a pause, and the bound that daemons must keep.
const (
	pauseDuration         = 3 * time.Second
	pushbackFaultDuration = 10 * time.Second // how long it rejects requests
	// pushbackInterval makes the back end reject every third request. It serves the others, so that
	// daemons do not eject it as failing.
	pushbackInterval = 3
	// pauseGracePeriod is the time after a rejection from which on the daemon that got it must keep the
	// pause, and maxPausedArrivals how many of its requests may still arrive until the pause is over.
	pauseGracePeriod  = 500 * time.Millisecond
	maxPausedArrivals = 2
)

// pushback is the state of a back end that rejects requests and asks for pauses. Pauses are recorded by
// incarnation of a daemon; the report knows which one a caller sent a request through.
type pushback struct {
	active   bool
	requests int
	pausedAt map[string]time.Time // last request for a pause, by incarnation of a daemon
	arrivals map[string]int       // requests since the grace period, by incarnation of a daemon
}

// setPushback makes the back end reject requests, or stop rejecting them.
func (w *worker) setPushback(on bool) {
	w.pushback.active = on
}

// checkPushback counts a request, and reports whether it is rejected with a request for a pause.
func (w *worker) checkPushback(header http.Header, id string) bool {
	daemon := w.report.sendingDaemon(id)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now, state := time.Now(), &w.pushback
	if age := now.Sub(state.pausedAt[daemon]); age > pauseGracePeriod && age < pauseDuration {
		state.arrivals[daemon]++
		w.report.recordPausedArrival(w.id, daemon, state.arrivals[daemon])
	}
	state.requests++
	if !state.active || state.requests%pushbackInterval != 0 {
		return false
	}
	if state.pausedAt == nil {
		state.pausedAt, state.arrivals = make(map[string]time.Time), make(map[string]int)
	}
	state.pausedAt[daemon], state.arrivals[daemon] = now, 0
	w.report.count("pauses asked for")
	header.Set("Retry-After", strconv.Itoa(int(pauseDuration.Seconds())))
	return true
}

// sendingDaemon returns the incarnation of the daemon that a request was sent through; empty if no caller
// sent it.
func (r *report) sendingDaemon(id string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if request, known := r.requests[id]; known {
		return request.daemon
	}
	return ""
}

// recordPausedArrival records how many requests of a daemon a back end got during a pause that it had
// asked this daemon for.
func (r *report) recordPausedArrival(worker, daemon string, count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts["in a pause"]++
	if count > maxPausedArrivals && r.faultFreeFor() > pauseDuration+settleTime {
		r.addViolation("PAUSE: %s asked %s for a pause of %s and got %d requests from it meanwhile", worker, daemon, pauseDuration, count)
	}
}
