// Package admission implements the queue of requests that wait for a permit and the
// decision whether a request is queued or refused.
//
// Requests wait at the daemon, not in the queue of a back end. Higher weights are served
// first; order.go has the order within a weight. A full queue
// refuses its lowest-priority request to make room for a more important one. A request
// that is unlikely to get a permit while it is still useful is refused on arrival or, once
// that becomes known, shed from the queue (contention.go). Under overload the back ends thus
// work on requests whose callers are still waiting, and the others get an early refusal. A
// request refused here has never run.
//
// The package is pure and not safe for concurrent use.
package admission

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

// Ticket is one waiting request.
type Ticket struct {
	Weight      int       // higher weights are served first
	Deadline    time.Time // the answer is useless after this
	Expiry      time.Time // the request must not wait longer than this
	UsefulUntil time.Time // a permit granted later is useless; zero: Deadline applies
	FirstTry    time.Time // when the caller first asked; zero: unknown
	// InTimeUntil is when the ticket becomes late and moves behind those that can still be in time;
	// zero: never.
	InTimeUntil time.Time
	// Due is the time for which the caller was told to return; zero: it was not, or came earlier.
	Due time.Time
	// AnswerableUntil is until when a permit commonly leads to an answer by Deadline; zero:
	// Deadline applies.
	AnswerableUntil time.Time
	// Tenant and Share are the tenant that sent the request and its share of the capacity; see
	// Queue.DivideByTenant.
	Tenant string
	Share  float64
	// Payload belongs to the owner of the queue.
	Payload any

	sequence uint64
	index    int          // position in its heap; -1 when not queued
	late     bool         // InTimeUntil has passed
	tenant   *tenantQueue // nil: capacity is not divided, or not queued
}

// Verdict is the result of offering a ticket to the queue.
type Verdict int

// The results of Queue.Offer.
const (
	// Queued: the ticket is in the queue.
	Queued Verdict = iota
	// Full: the queue is full of requests of the same or a higher weight.
	Full
	// TooLate: the ticket is unlikely to get a permit in time, given the requests that
	// already wait and those that are expected to overtake it.
	TooLate
)

// Queue holds the waiting requests of one service.
type Queue struct {
	limit      int
	tickets    ticketHeap
	counts     map[int]int // tickets by weight; policies use few distinct weights
	sequence   uint64
	releases   recent.Count
	saturation saturationPeriod
	arrivals   map[int]*recent.Count // by weight
	scratch    []*Ticket             // sorted tickets; Shed reuses the memory
	nextLate   time.Time             // when a ticket may become late next; zero: none will
	// tenants holds the waiting tickets instead of tickets while capacity is divided between
	// tenants; nil: it is not.
	tenants *tenantQueues
}

// NewQueue returns an empty queue that holds at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, counts: make(map[int]int), arrivals: make(map[int]*recent.Count)}
}

// SetLimit changes the maximum length. Requests that already wait stay queued.
func (q *Queue) SetLimit(limit int) {
	q.limit = limit
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	if q.tenants != nil {
		return q.tenants.length
	}
	return len(q.tickets)
}

// RecordArrival counts a request that asks for a permit, whether or not it will wait. The
// arrival rates tell how many later requests may overtake a waiting one.
func (q *Queue) RecordArrival(now time.Time, weight int) {
	arrivals, found := q.arrivals[weight]
	if !found {
		arrivals = new(recent.Count)
		q.arrivals[weight] = arrivals
	}
	arrivals.Add(now)
}

// contentionFor returns the rates at which permits are released and overtaking requests
// arrive for tickets of a weight. The release rate starts as the larger of two estimates:
// the releases of the last second, which are few after an idle period, and the rate implied
// by serviceInterval, which assumes that all slots are usable. The longer requests have been
// waiting, the more weight the release rate measured since then gets, because back ends that
// are disturbed or held back serve less than their slots suggest.
func (q *Queue) contentionFor(now time.Time, weight int, serviceInterval time.Duration) contention {
	var rates contention
	for arrivalWeight, arrivals := range q.arrivals {
		if arrivalWeight >= weight {
			rates.overtakesPerSecond += arrivals.PerSecond(now)
		}
	}
	rates.releasesPerSecond = q.releases.PerSecond(now)
	if serviceInterval > 0 {
		rates.releasesPerSecond = max(rates.releasesPerSecond, float64(time.Second)/float64(serviceInterval))
	}
	measuredPerSecond, fraction := q.saturation.perSecond(now)
	rates.releasesPerSecond = fraction*measuredPerSecond + (1-fraction)*rates.releasesPerSecond
	return rates
}

// Describe returns a description of the contention at a weight for logs and refusals.
func (q *Queue) Describe(now time.Time, weight int, serviceInterval time.Duration) string {
	rates := q.contentionFor(now, weight, serviceInterval)
	return fmt.Sprintf("%d wait, %.0f places come free a second, %.0f requests come that may go first", q.Len(), rates.releasesPerSecond, rates.overtakesPerSecond)
}

// Shed removes and returns the tickets that are no longer likely to get a permit while it
// is useful to them.
func (q *Queue) Shed(now time.Time, serviceInterval time.Duration) []*Ticket {
	q.MarkLate(now)
	if q.tenants != nil {
		return q.shedByTenant(now, serviceInterval)
	}
	q.scratch = append(q.scratch[:0], q.tickets...)
	slices.SortFunc(q.scratch, compare)
	var shed []*Ticket
	var rates contention
	kept := 0
	for index, ticket := range q.scratch {
		if index == 0 || ticket.overtakenFrom() != q.scratch[index-1].overtakenFrom() {
			rates = q.contentionFor(now, ticket.overtakenFrom(), serviceInterval)
		}
		if rates.worthWaiting(kept, ticket.usefulUntil().Sub(now)) {
			kept++
			continue
		}
		shed = append(shed, ticket)
	}
	for _, ticket := range shed {
		q.remove(ticket)
	}
	return shed
}

// countAhead returns how many waiting tickets have a higher priority than ticket.
func (h ticketHeap) countAhead(ticket *Ticket) int {
	count := 0
	for _, waiting := range h {
		if less(waiting, ticket) {
			count++
		}
	}
	return count
}

// Offer adds a ticket to the queue. If the queue is full and the ticket has a higher weight
// than some waiting one, or displaces one of the same weight (order.go), the lowest-priority
// ticket is removed and returned as displaced.
//
// serviceInterval is the average time between answers of all back ends together, estimated
// from their latencies.
func (q *Queue) Offer(now time.Time, ticket *Ticket, serviceInterval time.Duration) (verdict Verdict, displaced *Ticket) {
	q.sequence++
	ticket.sequence = q.sequence
	ticket.late = ticket.lateAt(now)
	q.MarkLate(now)
	if q.tenants != nil {
		return q.offerByTenant(now, ticket, serviceInterval)
	}
	rates := q.contentionFor(now, ticket.overtakenFrom(), serviceInterval)
	if !rates.worthWaiting(q.tickets.countAhead(ticket), ticket.usefulUntil().Sub(now)) {
		return TooLate, nil
	}
	if len(q.tickets) >= q.limit {
		if displaced = q.displaceable(ticket); displaced == nil {
			return Full, nil
		}
		q.remove(displaced)
	}
	q.saturation.recordWaiting(now)
	heap.Push(&q.tickets, ticket)
	q.trackLate(ticket)
	q.counts[ticket.Weight]++
	return Queued, displaced
}

// Pop removes and returns the ticket of the highest priority, or nil if the queue is empty.
func (q *Queue) Pop() *Ticket {
	first := q.Peek()
	if first != nil {
		q.remove(first)
	}
	return first
}

func (q *Queue) remove(ticket *Ticket) {
	if q.tenants != nil {
		q.tenants.remove(ticket)
	} else {
		heap.Remove(&q.tickets, ticket.index)
	}
	if q.counts[ticket.Weight]--; q.counts[ticket.Weight] == 0 {
		delete(q.counts, ticket.Weight)
	}
}

// Peek returns the ticket of the highest priority without removing it, or nil if the queue
// is empty.
func (q *Queue) Peek() *Ticket {
	if q.tenants != nil {
		return q.tenants.first()
	}
	if len(q.tickets) == 0 {
		return nil
	}
	return q.tickets[0]
}

// PeekN returns up to limit tickets in order of priority without removing them.
func (q *Queue) PeekN(limit int) []*Ticket {
	if q.tenants != nil {
		return q.tenants.firstN(limit)
	}
	return q.tickets.firstN(limit)
}

// firstN returns up to limit tickets in order of priority.
func (h ticketHeap) firstN(limit int) []*Ticket {
	return peekHeap(h, limit, compare, func(ticket *Ticket) int { return ticket.index })
}

// peekHeap returns up to limit elements of a heap in order, without removing them.
func peekHeap[T comparable](elements []T, limit int, compare func(a, b T) int, indexOf func(T) int) []T {
	var peeked []T
	var candidates []T // heap children of the elements already returned: one of them is next
	if len(elements) > 0 {
		candidates = append(candidates, elements[0])
	}
	for len(candidates) > 0 && len(peeked) < limit {
		head := slices.MinFunc(candidates, compare)
		candidates = slices.DeleteFunc(candidates, func(element T) bool { return element == head })
		peeked = append(peeked, head)
		for child := 2*indexOf(head) + 1; child <= 2*indexOf(head)+2 && child < len(elements); child++ {
			candidates = append(candidates, elements[child])
		}
	}
	return peeked
}

// Remove removes a ticket whose caller left or whose wait expired, and reports whether it
// was still queued.
func (q *Queue) Remove(ticket *Ticket) bool {
	tickets := q.tickets
	if ticket.tenant != nil {
		tickets = ticket.tenant.tickets
	}
	if ticket.index < 0 || ticket.index >= len(tickets) || tickets[ticket.index] != ticket {
		return false
	}
	q.remove(ticket)
	return true
}

// RecordRelease counts the release of a permit. The queue learns from it how fast it
// drains.
func (q *Queue) RecordRelease(now time.Time) {
	q.releases.Add(now)
	if q.Len() > 0 {
		q.saturation.recordWaiting(now)
	}
	q.saturation.recordRelease(now)
}

// EstimateWait estimates how long a new ticket of this weight would wait, which is until all
// tickets of the same or a higher weight have been served. It returns the shorter of two
// estimates: one from the releases of the last second, which are few after an idle period,
// and one from serviceInterval, which counts the queues at busy back ends twice.
func (q *Queue) EstimateWait(now time.Time, weight int, serviceInterval time.Duration) time.Duration {
	ahead := 0
	for waitingWeight, count := range q.counts {
		if waitingWeight >= weight {
			ahead += count
		}
	}
	byServiceInterval := time.Duration(ahead) * serviceInterval
	perSecond := q.releases.PerSecond(now)
	if perSecond == 0 {
		return byServiceInterval
	}
	return min(byServiceInterval, time.Duration(float64(ahead)/perSecond*float64(time.Second)))
}

// minWeight returns the smallest weight in the queue, or math.MaxInt if the queue is empty,
// so that a queue with limit 0 admits nothing.
func (q *Queue) minWeight() int {
	minimum := math.MaxInt
	for weight := range q.counts {
		minimum = min(minimum, weight)
	}
	return minimum
}

// displaceable returns the waiting ticket that gives way to a new one in a full queue, or nil if
// there is none.
func (q *Queue) displaceable(ticket *Ticket) *Ticket {
	minimum := q.minWeight()
	if minimum > ticket.Weight || minimum == ticket.Weight && !ticket.mayDisplace() {
		return nil
	}
	lowest := q.lowestPriority()
	if minimum == ticket.Weight && !ticket.displaces(lowest) {
		return nil
	}
	return lowest
}

// lowestPriority returns the waiting ticket of the lowest priority, or nil if there is none.
// It scans all tickets, which happens only when an arrival displaces one.
func (q *Queue) lowestPriority() *Ticket {
	var lowest *Ticket
	for _, ticket := range q.tickets {
		if lowest == nil || less(lowest, ticket) {
			lowest = ticket
		}
	}
	return lowest
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
