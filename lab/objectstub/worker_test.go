package objectstub_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in for one of the users' workers.
type worker struct {
	id      string
	address string
	zone    string
	service string
	// version is that of its software; empty: v1.
	version string
	// fails says of which requests it fails; nil: of none.
	fails func(r *http.Request) bool
	// born is when it says that it started, in Unix milliseconds; 0: it does not say.
	born int64
	// warmUpLeft is for how long it says that it is cold.
	warmUpLeft time.Duration

	mutex     sync.Mutex
	runs      map[string]int // by request id
	work      time.Duration
	refuse    bool          // says Not-Executed
	instance  string        // the id it goes by; another than its own: its address was reused
	echo      string        // answers with this request id; empty: the request's
	disturb   time.Duration // work takes disturbedTimes as long in every other span of this length
	disturbed bool          // work takes disturbedTimes as long now
	probes    []time.Time
	silent    bool        // health checks get no answer
	arrivals  []time.Time // of requests, in order
	senders   []string    // of the same requests, the daemons' addresses
	heads     []http.Header
	// limit is what it says of how many requests a second it takes; empty: nothing. limitInHealth:
	// it says so in health answers, too.
	limit         string
	limitInHealth bool
	// leaving: it says with each answer that it leaves.
	leaving bool
	// pause is the Retry-After with which it turns requests away, each of pauseEvery; empty: it takes them.
	pause      string
	pauseEvery int
	// told are the answers to each daemon's requests by which it said one of the two.
	told []word
}

// word is what a worker said with an answer to a daemon.
type word struct {
	to string // the daemon's address
	at time.Time
}

// disturbedTimes is how much longer work takes that begins while a worker is disturbed.
const disturbedTimes = 5

// slowdown returns how much longer work takes now. The caller holds the mutex.
func (w *worker) slowdown() int {
	if w.disturbed {
		return disturbedTimes
	}
	if w.disturb > 0 && (time.Now().UnixNano()/int64(w.disturb)+int64(w.id[len(w.id)-1]))%2 == 0 {
		return disturbedTimes
	}
	return 1
}

// health answers a health check.
func (w *worker) health(rw http.ResponseWriter) {
	w.mutex.Lock()
	w.probes = append(w.probes, time.Now())
	silent, slowdown, named := w.silent, w.slowdown(), w.limitInHealth
	w.mutex.Unlock()
	if named {
		w.nameLimit(rw)
	}
	if silent {
		time.Sleep(time.Minute)
		return
	}
	rw.Header().Set("Instance-Id", w.id)
	rw.Header().Set("Server-Load", fmt.Sprintf("0,0,3,%d", 100*slowdown))
}

// say says that the worker leaves, if it does, and with a refusal that it wants a pause.
func (w *worker) say(rw http.ResponseWriter, r *http.Request, refuses bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.leaving {
		rw.Header().Set("Server-Leaving", "1")
	}
	pauses := refuses && w.pause != ""
	if pauses {
		rw.Header().Set("Retry-After", w.pause)
	}
	if w.leaving || pauses {
		w.told = append(w.told, word{to: r.RemoteAddr, at: time.Now()})
	}
}

// nameLimit says how many requests the worker takes, if it says so now.
func (w *worker) nameLimit(rw http.ResponseWriter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.limit != "" {
		rw.Header().Set("Server-Limit", w.limit)
	}
}

func (w *worker) change(apply func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	apply()
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.health(rw)
		return
	}
	id := r.Header.Get("Request-Id")
	w.mutex.Lock()
	w.arrivals = append(w.arrivals, time.Now())
	w.senders = append(w.senders, r.RemoteAddr)
	w.heads = append(w.heads, r.Header.Clone())
	slowdown := w.slowdown()
	paused := w.pause != "" && len(w.arrivals)%max(w.pauseEvery, 1) == 0
	work, refuse, echo := w.work*time.Duration(slowdown), w.refuse || paused, w.echo
	misdirected := r.Header.Get("Expected-Instance") != w.instance
	if !refuse && !misdirected {
		w.runs[id]++
	}
	w.mutex.Unlock()
	if echo == "" {
		echo = id
	}
	rw.Header().Set("Request-Id", echo)
	rw.Header().Set("Server-Load", fmt.Sprintf("1,0,3,%d", 100*slowdown))
	switch {
	case misdirected:
		rw.WriteHeader(http.StatusMisdirectedRequest)
	case refuse:
		w.say(rw, r, true)
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case w.fails != nil && w.fails(r):
		time.Sleep(work)
		w.say(rw, r, false)
		w.nameLimit(rw)
		rw.Header().Set("Server-Stamp", w.id)
		rw.WriteHeader(http.StatusInternalServerError)
	default:
		time.Sleep(work)
		w.say(rw, r, false)
		w.nameLimit(rw)
		rw.Header().Set("Server-Stamp", w.id)
		fmt.Fprint(rw, r.RequestURI)
	}
}

func (w *worker) versionOr(usual string) string {
	if w.version == "" {
		return usual
	}
	return w.version
}

func (w *worker) total() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	total := 0
	for _, count := range w.runs {
		total += count
	}
	return total
}
