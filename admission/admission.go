// Package admission decides which requests wait, in what order, and which are
// refused.
//
// Requests wait at the daemon, not in the queue of a back end. The heaviest
// class goes first; within a weight, the one whose caller asked last. A full queue makes
// room by refusing the request that matters least. A request that is unlikely to get a
// place while that is of use is refused as soon as that is known, on arrival or while it
// waits (chance.go), so that under overload the back ends work on requests whose callers
// still wait, and the others are told at once. A refusal here is always "not run".
//
// The package is pure and not safe for concurrent use.
package admission

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"
)

// Ticket is one waiting request.
type Ticket struct {
	Weight      int       // higher goes first
	Deadline    time.Time // after this the answer is of no use
	Expiry      time.Time // after this the request may not wait any longer
	UsefulUntil time.Time // after this a place would be of no use; zero: until the deadline
	FirstTry    time.Time // when its caller first asked; zero: unknown
	// Payload belongs to the owner of the queue.
	Payload any

	sequence uint64
	index    int // position in the heap; -1: not waiting
}

// Verdict says what became of an offered ticket.
type Verdict int

// The verdicts.
const (
	// Queued: the ticket is in the queue.
	Queued Verdict = iota
	// Full: the queue is full of requests that matter as much or more.
	Full
	// TooLate: it is unlikely to get a place in time behind the requests already waiting
	// and those that will go before it.
	TooLate
)

// Queue holds the waiting requests of one service.
type Queue struct {
	limit    int
	tickets  ticketHeap
	counts   map[int]int // tickets by weight; policies give few weights
	sequence uint64
	served   rate
	full     saturation
	arrived  map[int]*rate // by weight
	sorted   []*Ticket     // of Hopeless, kept for its memory
}

// NewQueue returns an empty queue for at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, counts: make(map[int]int), arrived: make(map[int]*rate)}
}

// SetLimit changes the bound. Requests already waiting stay.
func (q *Queue) SetLimit(limit int) {
	q.limit = limit
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.tickets)
}

// RecordArrival notes a request that wants a place, whether it will wait or not. The queue
// learns from it how many others a waiting request competes with.
func (q *Queue) RecordArrival(now time.Time, weight int) {
	arrived, known := q.arrived[weight]
	if !known {
		arrived = new(rate)
		q.arrived[weight] = arrived
	}
	arrived.add(now)
}

// trafficOf returns what a ticket of a weight competes in. Of the places it first takes the
// larger of two estimates: what was given back in the last second, which is low after a
// quiet time, and the pace, which counts on all slots. The longer requests have been
// waiting, the more counts what has come free since: back ends that are disturbed or held
// back serve less than their slots say.
func (q *Queue) trafficOf(now time.Time, weight int, pace time.Duration) traffic {
	var found traffic
	for arriving, arrived := range q.arrived {
		if arriving >= weight {
			found.ahead += arrived.perSecond(now)
		}
	}
	found.served = q.served.perSecond(now)
	if pace > 0 {
		found.served = max(found.served, float64(time.Second)/float64(pace))
	}
	measured, part := q.full.perSecond(now)
	found.served = part*measured + (1-part)*found.served
	return found
}

// Describe says in words what a request of a weight competes in, for logs.
func (q *Queue) Describe(now time.Time, weight int, pace time.Duration) string {
	competing := q.trafficOf(now, weight, pace)
	return fmt.Sprintf("%d wait, %.0f places come free a second, %.0f requests come that may go first", q.Len(), competing.served, competing.ahead)
}

// useful returns until when a place is of use to the ticket.
func (t *Ticket) useful() time.Time {
	if t.UsefulUntil.IsZero() {
		return t.Deadline
	}
	return t.UsefulUntil
}

// Shed takes out and returns the tickets that are not likely any more to get a place
// while it is of use to them.
func (q *Queue) Shed(now time.Time, pace time.Duration) []*Ticket {
	q.sorted = append(q.sorted[:0], q.tickets...)
	slices.SortFunc(q.sorted, order)
	var hopeless []*Ticket
	var competing traffic
	kept := 0
	for index, ticket := range q.sorted {
		if index == 0 || ticket.Weight != q.sorted[index-1].Weight {
			competing = q.trafficOf(now, ticket.Weight, pace)
		}
		if competing.hopeful(kept, ticket.useful().Sub(now)) {
			kept++
			continue
		}
		hopeless = append(hopeless, ticket)
	}
	for _, ticket := range hopeless {
		q.remove(ticket)
	}
	return hopeless
}

// order compares two tickets by which goes first.
func order(a, b *Ticket) int {
	if less(a, b) {
		return -1
	}
	return 1
}

// before returns how many waiting tickets go before one.
func (q *Queue) before(ticket *Ticket) int {
	count := 0
	for _, waiting := range q.tickets {
		if less(waiting, ticket) {
			count++
		}
	}
	return count
}

// Offer puts a ticket into the queue. When the queue is full, the least
// important waiting ticket is taken out and returned as displaced if the new
// one matters more.
//
// pace is how long the back ends take for one request, all together, as far as
// their latencies tell.
func (q *Queue) Offer(now time.Time, ticket *Ticket, pace time.Duration) (verdict Verdict, displaced *Ticket) {
	q.sequence++
	ticket.sequence = q.sequence
	competing := q.trafficOf(now, ticket.Weight, pace)
	if !competing.hopeful(q.before(ticket), ticket.useful().Sub(now)) {
		return TooLate, nil
	}
	if len(q.tickets) >= q.limit {
		if q.leastWeight() >= ticket.Weight {
			return Full, nil
		}
		displaced = q.least()
		q.remove(displaced)
	}
	q.full.waiting(now)
	heap.Push(&q.tickets, ticket)
	q.counts[ticket.Weight]++
	return Queued, displaced
}

// Pop takes out the ticket that goes first, or returns nil.
func (q *Queue) Pop() *Ticket {
	if len(q.tickets) == 0 {
		return nil
	}
	first := q.tickets[0]
	q.remove(first)
	return first
}

func (q *Queue) remove(ticket *Ticket) {
	heap.Remove(&q.tickets, ticket.index)
	if q.counts[ticket.Weight]--; q.counts[ticket.Weight] == 0 {
		delete(q.counts, ticket.Weight)
	}
}

// Peek returns the ticket that goes first without taking it out, or nil.
func (q *Queue) Peek() *Ticket {
	if len(q.tickets) == 0 {
		return nil
	}
	return q.tickets[0]
}

// PeekN returns the tickets that go first, in order, at most so many, without taking them out.
func (q *Queue) PeekN(most int) []*Ticket {
	var foremost []*Ticket
	var next []*Ticket // may come next: the children of those that were returned, which go before all others
	if len(q.tickets) > 0 {
		next = append(next, q.tickets[0])
	}
	for len(next) > 0 && len(foremost) < most {
		first := slices.MinFunc(next, order)
		next = slices.DeleteFunc(next, func(ticket *Ticket) bool { return ticket == first })
		foremost = append(foremost, first)
		for child := 2*first.index + 1; child <= 2*first.index+2 && child < len(q.tickets); child++ {
			next = append(next, q.tickets[child])
		}
	}
	return foremost
}

// Remove takes out a ticket whose caller left or whose wait is over, and says
// whether it was still waiting.
func (q *Queue) Remove(ticket *Ticket) bool {
	if ticket.index < 0 || ticket.index >= len(q.tickets) || q.tickets[ticket.index] != ticket {
		return false
	}
	q.remove(ticket)
	return true
}

// RecordRelease notes that a place was given back. The queue learns from it how fast it
// empties.
func (q *Queue) RecordRelease(now time.Time) {
	q.served.add(now)
	if len(q.tickets) > 0 {
		q.full.waiting(now)
	}
	q.full.place(now)
}

// EstimateWait estimates how long a ticket of this weight would wait now: until all that
// matter as much or more have gone. It takes the shorter of two estimates: the
// requests finished in the last second, which is low after a quiet time, and the
// pace, which counts the queues at busy back ends twice.
func (q *Queue) EstimateWait(now time.Time, weight int, pace time.Duration) time.Duration {
	ahead := 0
	for waiting, count := range q.counts {
		if waiting >= weight {
			ahead += count
		}
	}
	byPace := time.Duration(ahead) * pace
	perSecond := q.served.perSecond(now)
	if perSecond == 0 {
		return byPace
	}
	return min(byPace, time.Duration(float64(ahead)/perSecond*float64(time.Second)))
}

// leastWeight returns the smallest weight that waits. An empty queue, whose
// bound is 0, has no smaller one than any.
func (q *Queue) leastWeight() int {
	least := math.MaxInt
	for weight := range q.counts {
		least = min(least, weight)
	}
	return least
}

// least returns the waiting ticket that matters least, or nil. It looks at all of
// them, which only an arrival that displaces another pays for.
func (q *Queue) least() *Ticket {
	var last *Ticket
	for _, ticket := range q.tickets {
		if last == nil || less(last, ticket) {
			last = ticket
		}
	}
	return last
}

// less says whether a goes before b.
func less(a, b *Ticket) bool {
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	if !a.FirstTry.Equal(b.FirstTry) {
		return a.FirstTry.After(b.FirstTry)
	}
	if !a.Expiry.Equal(b.Expiry) {
		return a.Expiry.Before(b.Expiry)
	}
	return a.sequence < b.sequence
}

// ticketHeap implements heap.Interface.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return less(h[i], h[j]) }

func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	ticket := x.(*Ticket)
	ticket.index = len(*h)
	*h = append(*h, ticket)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.index = -1
	*h = old[:len(old)-1]
	return last
}

// rateWindow is the time over which the rate of finished requests is taken.
const rateWindow = time.Second

// rate counts events in the running and the previous window.
type rate struct {
	start             time.Time
	current, previous int
}

func (r *rate) roll(now time.Time) {
	if r.start.IsZero() {
		r.start = now
	}
	passed := now.Sub(r.start)
	if passed < rateWindow {
		return
	}
	if passed < 2*rateWindow {
		r.previous = r.current
		r.start = r.start.Add(rateWindow)
	} else {
		r.previous = 0
		r.start = now
	}
	r.current = 0
}

func (r *rate) add(now time.Time) {
	r.roll(now)
	r.current++
}

// perSecond weighs the previous window by the part of it that is still within
// the last rateWindow.
func (r *rate) perSecond(now time.Time) float64 {
	r.roll(now)
	share := 1 - now.Sub(r.start).Seconds()/rateWindow.Seconds()
	return float64(r.current) + share*float64(r.previous)
}
