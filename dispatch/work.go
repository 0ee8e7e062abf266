package dispatch

import (
	"slices"
	"time"
)

const (
	// workMemory is how many latencies of a class are remembered: enough to tell the
	// slowest twentieth of them, and as many as a class of 2 requests a second brings in
	// a minute.
	workMemory = 128
	// workLeast is with how many latencies a class is known: its fastest twentieth is one.
	workLeast = 20
	// tailMargin is by which part of the typical latency a request is slower than most
	// before it gets a second attempt. Where all take about as long, it would else get one
	// just before its answer comes, and use up the retry budget (TestHedge in
	// lab/objectstub).
	tailMargin = 0.1
	// workRefresh is after how many latencies the quantiles are reckoned anew.
	workRefresh = 8
	// maxClasses bounds the classes that are remembered; what is known is forgotten
	// beyond it, and learned anew within some requests.
	maxClasses = 1000
)

// Parts of the latencies of a class: what its fastest, its typical and its slow requests
// take.
const (
	fastest = 0.05
	typical = 0.5
	// slow is beyond which a request gets a second attempt while most back ends have
	// places free: the slowest fifth is about what the retry budgets in use pay for. On
	// quiet days it served 0.003 to 0.008 more of the worth than the slowest twentieth
	// (means of 3 days at three deployments).
	slow = 0.8
	// slowest is the same while most are full, when a second attempt takes the place of
	// another request: the slowest twentieth (Dean and Barroso, The Tail at Scale, 2013).
	slowest = 0.95
)

// latencies are those that requests of one class had of late, from when they were sent to
// a back end. The zero value has seen none.
type latencies struct {
	last             [workMemory]time.Duration
	seen             int
	fastest, typical time.Duration // 0: not known yet
	slow, slowest    time.Duration
}

// add takes in the latency of an answer.
func (l *latencies) add(latency time.Duration) {
	l.last[l.seen%workMemory] = latency
	l.seen++
	if l.seen < workLeast || l.seen%workRefresh != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(l.last[:min(l.seen, workMemory)]))
	part := func(share float64) time.Duration { return sorted[int(share*float64(len(sorted)))] }
	l.fastest, l.typical, l.slow, l.slowest = part(fastest), part(typical), part(slow), part(slowest)
}

// work is what is known of the work of each class of requests. The zero value knows
// nothing.
type work struct {
	byClass map[string]*latencies
}

// nothingKnown is of a class that has had no answers yet. It is never changed.
var nothingKnown = new(latencies)

// of returns what is known of a class. It must not be changed.
func (w *work) of(class string) *latencies {
	if known, found := w.byClass[class]; found {
		return known
	}
	return nothingKnown
}

// learn takes in the latency of an answer to a request of a class, if it has one.
func (w *work) learn(class string, latency time.Duration) {
	if class == "" {
		return
	}
	known, found := w.byClass[class]
	if !found {
		if w.byClass == nil || len(w.byClass) >= maxClasses {
			w.byClass = make(map[string]*latencies)
		}
		known = new(latencies)
		w.byClass[class] = known
	}
	known.add(latency)
}

// servable says whether an answer could come before the deadline, as far as is known.
func (l *latencies) servable(now time.Time, request Request) bool {
	return !now.Add(l.fastest).After(request.Deadline)
}

// useful returns until when a place is worth waiting for: until an answer will commonly
// come too late for the objective, or else the deadline. One that is late already waits
// for none: the place that it would get when one comes free, and keep for all of its work,
// is worth more to those that can be in time. It is served where a place is free.
func (l *latencies) useful(request Request) time.Time {
	if objective, given := request.objective(); given {
		return objective.Add(-l.typical)
	}
	return request.Deadline.Add(-l.typical)
}

// follows says whether it is worth learning what a request meets at its back end: it is a
// first attempt that may be sent again, and a second one that were made when that is known
// would commonly be in time.
func (l *latencies) follows(sent time.Time, request Request) bool {
	objective, given := request.objective()
	if !given || l.typical == 0 || !request.Routing.Repeatable || len(request.Routing.Tried) > 0 {
		return false
	}
	return !sent.Add(metWithin + l.typical).After(objective)
}

// hedgeAfter returns how long after it was sent a request should get a second attempt: as
// soon as it is one of the slowest of its class, of which there are fewer where most back
// ends are full, but not so late that the second answer would commonly miss the objective.
// It returns 0 where that is not known, or even the fastest answer would come too late.
func (l *latencies) hedgeAfter(sent time.Time, request Request, mostFull bool) time.Duration {
	objective, given := request.objective()
	if !given || l.slowest == 0 {
		return 0
	}
	tail := l.slow
	if mostFull {
		tail = l.slowest
	}
	tail += time.Duration(tailMargin * float64(l.typical))
	if last := objective.Sub(sent) - l.typical; last > l.typical {
		tail = min(tail, last)
	}
	if sent.Add(tail + l.fastest).After(objective) {
		return 0
	}
	return tail
}
