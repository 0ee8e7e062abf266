package soak

import (
	"net/http"
	"strconv"
	"time"
)

// A back end that turns requests away and asks for a pause, and what the users promise to it.
const (
	pauseLasts  = 3 * time.Second
	pauseLength = 10 * time.Second // for so long it turns requests away
	// pauseEvery is which of its requests it turns away: of the others it answers, so that it is not left out for failing.
	pauseEvery = 3
	// pauseInForce is from when after such an answer the daemon that got it is bound, and pauseBound how many requests of
	// it may come from then on until the pause is over.
	pauseInForce = 500 * time.Millisecond
	pauseBound   = 2
)

// pushback is how a back end turns requests away, and what it got from whom it asked for a pause. Which life of a daemon
// sent a request is told by its caller.
type pushback struct {
	on       bool
	requests int
	asked    map[string]time.Time // when it last asked, by life of a daemon
	got      map[string]int       // from that one since it is bound
}

// setPushback makes the back end turn requests away, or not any more.
func (w *worker) setPushback(on bool) {
	w.pushback.on = on
}

// pushesBack counts a request, and says whether it is turned away.
func (w *worker) pushesBack(header http.Header, id string) bool {
	daemon := w.report.senderOf(id)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now, state := time.Now(), &w.pushback
	if age := now.Sub(state.asked[daemon]); age > pauseInForce && age < pauseLasts {
		state.got[daemon]++
		w.report.arrivedInPause(w.id, daemon, state.got[daemon])
	}
	state.requests++
	if !state.on || state.requests%pauseEvery != 0 {
		return false
	}
	if state.asked == nil {
		state.asked, state.got = make(map[string]time.Time), make(map[string]int)
	}
	state.asked[daemon], state.got[daemon] = now, 0
	w.report.count("pauses asked for")
	header.Set("Retry-After", strconv.Itoa(int(pauseLasts.Seconds())))
	return true
}

// senderOf returns through which life of a daemon a request was sent; empty: nobody sent it.
func (r *report) senderOf(id string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if one, known := r.requests[id]; known {
		return one.through
	}
	return ""
}

// arrivedInPause notes how many requests of a daemon a back end got in a pause that it had asked that daemon for.
func (r *report) arrivedInPause(worker, daemon string, count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts["in a pause"]++
	if count > pauseBound && r.calmFor() > pauseLasts+settleTime {
		r.violated("PAUSE: %s asked %s for %s and got %d requests of it meanwhile", worker, daemon, pauseLasts, count)
	}
}
