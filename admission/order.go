package admission

import (
	"container/heap"
	"time"
)

// The order in which waiting requests of one weight get permits:
//
//  1. Requests that can still be in time before late ones, which never get a permit that one of
//     the former waits for.
//  2. Callers that returned when told before others. Of these, the one whose time came first:
//     the times were given at the rate at which permits are released, so that serving them in
//     turn keeps each of them.
//  3. The newest first try first: it has the most time left. Under overload, serving the oldest
//     first makes all of them late.

// less reports whether a has a higher priority than b.
func less(a, b *Ticket) bool {
	if a.Weight != b.Weight {
		return a.Weight > b.Weight
	}
	if a.late != b.late {
		return b.late
	}
	if a.returned() != b.returned() {
		return a.returned()
	}
	if !a.Due.Equal(b.Due) {
		return a.Due.Before(b.Due)
	}
	if !a.FirstTry.Equal(b.FirstTry) {
		return a.FirstTry.After(b.FirstTry)
	}
	if !a.Expiry.Equal(b.Expiry) {
		return a.Expiry.Before(b.Expiry)
	}
	return a.sequence < b.sequence
}

// compare orders tickets by priority for package slices.
func compare(a, b *Ticket) int {
	if less(a, b) {
		return -1
	}
	return 1
}

// returned reports whether the caller has returned when it was told to.
func (t *Ticket) returned() bool {
	return !t.Due.IsZero()
}

// mayDisplace reports whether the ticket may displace one of its weight: it has an objective that can
// still be met, or its caller returned when told.
func (t *Ticket) mayDisplace() bool {
	return !t.late && (t.returned() || !t.InTimeUntil.IsZero())
}

// displaces reports whether the ticket displaces a waiting one of its weight from a full queue: it can
// still be in time and the other cannot, or its caller alone of the two returned when told. A newer
// first try displaces nothing, as most arrivals would displace a request that waits.
func (t *Ticket) displaces(waiting *Ticket) bool {
	return t.mayDisplace() && (waiting.late || t.returned() && !waiting.returned())
}

// Late reports whether the ticket stands behind those that can still be in time.
func (t *Ticket) Late() bool {
	return t.late
}

// lateAt reports whether a permit granted now is too late for the latency objective.
func (t *Ticket) lateAt(now time.Time) bool {
	return !t.InTimeUntil.IsZero() && !now.Before(t.InTimeUntil)
}

// usefulUntil returns until when a permit is useful to the ticket.
func (t *Ticket) usefulUntil() time.Time {
	if t.UsefulUntil.IsZero() {
		return t.Deadline
	}
	return t.UsefulUntil
}

// overtakenFrom returns the smallest weight whose new requests overtake the ticket while it waits.
// New requests of its own weight do not overtake a caller that returned when told and can still be
// in time.
func (t *Ticket) overtakenFrom() int {
	if t.returned() && !t.late {
		return t.Weight + 1
	}
	return t.Weight
}

// MarkLate moves the waiting requests that have become late behind those that can still be in time.
// It must be called before Peek, PeekN, Pop or Shed wherever tickets have an InTimeUntil. It scans
// the queue only when a ticket may have become late.
func (q *Queue) MarkLate(now time.Time) {
	if q.nextLate.IsZero() || now.Before(q.nextLate) {
		return
	}
	q.nextLate = time.Time{}
	q.markLate(now, &q.tickets)
	if q.tenants != nil {
		for _, level := range q.tenants.levels {
			for _, waiting := range level.tenants {
				q.markLate(now, &waiting.tickets)
			}
		}
	}
}

// markLate is MarkLate for the tickets of one heap.
func (q *Queue) markLate(now time.Time, tickets *ticketHeap) {
	marked := false
	for _, ticket := range *tickets {
		if !ticket.late && ticket.lateAt(now) {
			ticket.late, marked = true, true
		}
		q.trackLate(ticket)
	}
	if marked {
		heap.Init(tickets)
	}
}

// trackLate records when a ticket will become late.
func (q *Queue) trackLate(ticket *Ticket) {
	if ticket.late || ticket.InTimeUntil.IsZero() {
		return
	}
	if q.nextLate.IsZero() || ticket.InTimeUntil.Before(q.nextLate) {
		q.nextLate = ticket.InTimeUntil
	}
}

// ReleaseInterval returns the average time between permits that are left for requests of a weight
// when those of higher weights have been served, and 0 if none are left or nothing is known. While
// capacity is divided, it is that of the tenant's permits. serviceInterval is the same as for Offer.
func (q *Queue) ReleaseInterval(now time.Time, weight int, tenant string, share float64, serviceInterval time.Duration) time.Duration {
	rates := q.contentionFor(now, weight+1, serviceInterval)
	perSecond := rates.releasesPerSecond - rates.overtakesPerSecond
	if q.tenants != nil {
		perSecond = q.tenants.ledger.Book(weight).Account(now, tenant, share).PermitRate(now, max(perSecond, 0))
	}
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / perSecond)
}
