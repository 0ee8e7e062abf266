package dispatch

import (
	"time"

	"github.com/tuliphall/tuliphall/admission"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
)

// Request is a request that wants a place.
type Request struct {
	Weight   int
	Wait     time.Duration // longest wait; 0: until the deadline
	Deadline time.Time
	// FirstTry is when the caller first asked, before it was refused and came back;
	// zero: that is not known.
	FirstTry time.Time
	Routing  routing.Request
}

// Core joins routing and admission for one service. It is pure: time is passed
// in and nothing blocks. It is not safe for concurrent use; Dispatcher wraps it
// for the daemon, and the lab's simulator runs it in virtual time.
type Core struct {
	Group *routing.Group
	Queue *admission.Queue
}

// Place is a place at a back end.
type Place struct {
	routing.PickResult
	Since time.Time // when the request came
	Sent  time.Time // when the place was given
}

// Decision is what becomes of an offered request: exactly one of Place, Ticket
// and Refused is set.
type Decision struct {
	Place   *Place
	Ticket  *admission.Ticket // the request waits
	Refused resultcode.Code
	// Displaced is the payload of a waiting request that was refused instead,
	// with QueueFull; nil if there was none.
	Displaced any
}

// waiting is what a ticket carries.
type waiting struct {
	request Request
	since   time.Time
	payload any
}

// Offer decides about a new request. payload comes back when the request is
// granted a place later, or is displaced.
func (c *Core) Offer(now time.Time, request Request, payload any) Decision {
	if !c.Group.Available() {
		return Decision{Refused: resultcode.NoBackend}
	}
	if first := c.Queue.Peek(); first == nil || first.Weight < request.Weight {
		if result, ok := c.Group.Pick(now, request.Routing); ok {
			return Decision{Place: &Place{PickResult: result, Since: now, Sent: now}}
		}
	}
	ticket := newTicket(now, request, payload)
	verdict, displaced := c.Queue.Offer(now, ticket, c.Group.Pace())
	var decision Decision
	if displaced != nil {
		decision.Displaced = displaced.Payload.(*waiting).payload
	}
	switch verdict {
	case admission.Full:
		decision.Refused = resultcode.QueueFull
	case admission.Late:
		decision.Refused = resultcode.DeadlineTooShort
	default:
		decision.Ticket = ticket
	}
	return decision
}

func newTicket(now time.Time, request Request, payload any) *admission.Ticket {
	expiry := request.Deadline
	if request.Wait > 0 && now.Add(request.Wait).Before(expiry) {
		expiry = now.Add(request.Wait)
	}
	return &admission.Ticket{
		Weight: request.Weight, Deadline: request.Deadline, Expiry: expiry, FirstTry: request.FirstTry,
		Payload: &waiting{request: request, since: now, payload: payload},
	}
}

// Done gives a place back. latency counts only for a success.
func (c *Core) Done(now time.Time, place *Place, outcome routing.Outcome, latency time.Duration) {
	c.Group.Finished(place.PickResult, now, outcome, latency)
	if outcome == routing.Success {
		c.Queue.Served(now)
	}
}

// Next gives a free place to the waiting request that goes first, and returns
// it with the request's payload; nil when nothing waits or no place is free. It
// is called until it returns nil after every change.
func (c *Core) Next(now time.Time) (*Place, any) {
	first := c.Queue.Peek()
	if first == nil {
		return nil, nil
	}
	waiter := first.Payload.(*waiting)
	result, ok := c.Group.Pick(now, waiter.request.Routing)
	if !ok {
		return nil, nil
	}
	c.Queue.Next()
	return &Place{PickResult: result, Since: waiter.since, Sent: now}, waiter.payload
}

// Report takes in a load report of a back end.
func (c *Core) Report(now time.Time, state *routing.State, report routing.Report) {
	c.Group.Report(state, report, c.Queue.Len() > 0, now)
}
