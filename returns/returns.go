// Package returns keeps the times at which refused callers were told to return, and recognises the
// callers that do.
//
// A table gives each refused caller a time of its own, no closer to the previous one than permits
// become free, so that there is capacity for all of them and they do not collide. A caller that
// would have to come later than it can wait gets no such time. A caller that returns when told is
// served before new requests; one that returns earlier loses its time.
//
// The package is pure and not safe for concurrent use.
package returns

import (
	"maps"
	"slices"
	"time"
)

const (
	// earlyTolerance is how much before its time a caller may return: Retry-After and the remaining
	// time that callers state are rounded to milliseconds.
	earlyTolerance = 10 * time.Millisecond
	// firstTryTolerance is the largest difference between two estimates of the time of one first
	// try. Each is made from a remaining time in milliseconds and includes a different network delay.
	firstTryTolerance = 50 * time.Millisecond
	// maxTimes bounds the times that a table holds: those given within a second by a dispatcher
	// that refuses 4,000 requests a second.
	maxTimes = 4096
	// maxTimesPerKey bounds the times of requests with the same key, which are searched one by one.
	maxTimesPerKey = 64
	// maxLanes bounds the lanes. At it, lanes whose next time has passed are forgotten. If more than half
	// remain, all lanes start anew, which may give one time twice.
	maxLanes = 1024
)

// Key identifies a request across the tries of its caller.
type Key struct {
	Fingerprint uint64 // 0: unknown
	Tenant      string
	Class       string
}

// Request is a request of a caller.
type Request struct {
	Key      Key
	FirstTry time.Time // estimated time of the caller's first try; zero: unknown
	Deadline time.Time // the caller does not return after this
}

// Lane is a group of requests that share a capacity.
type Lane struct {
	Tenant string // empty: tenants share the capacity
	Weight int
}

// given is a time that a caller was told.
type given struct {
	request Request
	due     time.Time
	done    bool // used, replaced or evicted
}

// Table holds the times of one dispatcher. The zero value is empty.
type Table struct {
	byKey map[Key][]*given
	queue []*given // in the order in which the times were given
	live  int      // entries of the queue that are not done
	next  map[Lane]time.Time
	stats Stats
}

// Stats counts the decisions of a table.
type Stats struct {
	Given   uint64 // times given
	Full    uint64 // callers for which there was no time within their wait
	Kept    uint64 // callers that returned when told
	Early   uint64 // callers that returned earlier
	Evicted uint64 // times forgotten because the table was full
}

// Plus returns the sums of two counts.
func (s Stats) Plus(other Stats) Stats {
	return Stats{
		Given: s.Given + other.Given, Full: s.Full + other.Full, Kept: s.Kept + other.Kept,
		Early: s.Early + other.Early, Evicted: s.Evicted + other.Evicted,
	}
}

// Stats returns the counts since the table was made.
func (t *Table) Stats() Stats {
	return t.stats
}

// Len returns the number of callers that may return.
func (t *Table) Len() int {
	return t.live
}

// Window is the period in which a caller can be told to return.
type Window struct {
	Earliest time.Time // the requests that wait now will have been served by then
	Latest   time.Time // a later return is of no use, or later than the caller can wait
	// Interval is the average time between permits for the lane; 0: none become free.
	Interval time.Duration
}

// Give returns the time at which a refused caller should return, and records it. It returns false
// if there is none within the window, or if the caller would not be recognised.
func (t *Table) Give(now time.Time, request Request, lane Lane, window Window) (time.Time, bool) {
	if request.Key.Fingerprint == 0 || request.FirstTry.IsZero() {
		return time.Time{}, false
	}
	t.expire(now)
	due := window.Earliest
	if next := t.next[lane]; next.After(due) {
		due = next
	}
	if window.Interval <= 0 || due.After(window.Latest) {
		t.stats.Full++
		return time.Time{}, false
	}
	t.makeRoomForLane(now)
	t.next[lane] = due.Add(window.Interval)
	t.add(&given{request: request, due: due})
	t.stats.Given++
	return due, true
}

// makeRoomForLane ensures that a lane can be added. It scans the lanes once in maxLanes / 2 new ones.
func (t *Table) makeRoomForLane(now time.Time) {
	if t.next == nil {
		t.next = make(map[Lane]time.Time)
	}
	if len(t.next) < maxLanes {
		return
	}
	maps.DeleteFunc(t.next, func(_ Lane, next time.Time) bool { return next.Before(now) })
	if len(t.next) > maxLanes/2 {
		clear(t.next)
	}
}

// Take returns the time for which the caller of a request was told to return, if it was and has not
// come earlier. A time can be taken once.
func (t *Table) Take(now time.Time, request Request) (due time.Time, returned bool) {
	entry := t.find(request)
	if entry == nil || now.After(entry.request.Deadline) {
		return time.Time{}, false
	}
	t.drop(entry)
	if now.Before(entry.due.Add(-earlyTolerance)) {
		t.stats.Early++
		return time.Time{}, false
	}
	t.stats.Kept++
	return entry.due, true
}

// find returns the entry of the caller whose first try is nearest to that of a request, or nil.
func (t *Table) find(request Request) *given {
	var nearest *given
	smallest := firstTryTolerance
	for _, entry := range t.byKey[request.Key] {
		if difference := entry.request.FirstTry.Sub(request.FirstTry).Abs(); difference <= smallest {
			nearest, smallest = entry, difference
		}
	}
	return nearest
}

func (t *Table) add(entry *given) {
	if t.byKey == nil {
		t.byKey = make(map[Key][]*given)
	}
	key := entry.request.Key
	if same := t.byKey[key]; len(same) >= maxTimesPerKey {
		t.evict(same[0])
	}
	for t.live >= maxTimes {
		t.evictOldest()
	}
	t.byKey[key] = append(t.byKey[key], entry)
	t.queue = append(t.queue, entry)
	t.live++
}

func (t *Table) evictOldest() {
	for len(t.queue) > 0 {
		oldest := t.queue[0]
		t.queue = t.queue[1:]
		if !oldest.done {
			t.evict(oldest)
			return
		}
	}
}

func (t *Table) evict(entry *given) {
	t.drop(entry)
	t.stats.Evicted++
}

// drop forgets an entry.
func (t *Table) drop(entry *given) {
	key := entry.request.Key
	remaining := slices.DeleteFunc(t.byKey[key], func(other *given) bool { return other == entry })
	if len(remaining) == 0 {
		delete(t.byKey, key)
	} else {
		t.byKey[key] = remaining
	}
	entry.done = true
	t.live--
}

// expire forgets the entries whose callers no longer return. Entries that are done are removed from
// the queue when they reach its front or outnumber the others.
func (t *Table) expire(now time.Time) {
	for len(t.queue) > 0 && (t.queue[0].done || now.After(t.queue[0].request.Deadline)) {
		if !t.queue[0].done {
			t.drop(t.queue[0])
		}
		t.queue = t.queue[1:]
	}
	if len(t.queue) > 2*t.live+maxTimesPerKey {
		t.queue = slices.DeleteFunc(slices.Clone(t.queue), func(entry *given) bool { return entry.done })
	}
}
