package dispatch

import (
	"fmt"
	"time"

	"github.com/tuliphall/tuliphall/admission"
	"github.com/tuliphall/tuliphall/quarantine"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/rollout"
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
	// Class is that of its policy; empty: it has none. Requests of a class take about as
	// long, which is learned.
	Class string
	// Tenant is whose request it is; empty: nobody's.
	Tenant string
	// Objective is within which time of the first try an answer is worth most; 0: none.
	Objective time.Duration
	// NoWait: the request wants a place only if one is free now.
	NoWait bool
	// Fingerprints are what the request shares with its repeats; 0: that is not known.
	Fingerprints quarantine.Fingerprints
	Routing      routing.Request
}

// returnedAge is from when on a request counts as one that came back. Callers say how long
// they go on waiting in milliseconds, so that a first try may look a few of them old.
const returnedAge = 10 * time.Millisecond

// IsCallerRetry says whether the caller was refused before and has come back. One whose first
// attempt failed after a while counts as well: it has as little time left.
func (r Request) IsCallerRetry(now time.Time) bool {
	return !r.FirstTry.IsZero() && now.Sub(r.FirstTry) >= returnedAge
}

// objective returns until when an answer is worth most, and false where nothing says so.
func (r Request) objective() (time.Time, bool) {
	return r.FirstTry.Add(r.Objective), r.Objective > 0 && !r.FirstTry.IsZero()
}

// Core joins routing and admission for one service. It is pure: time is passed
// in and nothing blocks. It is not safe for concurrent use; Dispatcher wraps it
// for the daemon, and the lab's simulator runs it in virtual time.
type Core struct {
	Group *routing.Group
	Queue *admission.Queue
	work  work
	// rollout is this daemon's part in the rollout of the service; nil: there is none.
	rollout *rollout.Controller

	followed followed
}

// Permit is a place at a back end.
type Permit struct {
	routing.PickResult
	ArrivedAt time.Time // when the request came
	GrantedAt time.Time // when the place was given
	// HedgeAfter is how long after Sent a second attempt is worth making; 0: not known.
	HedgeAfter time.Duration
	// Followed: it is told if the request met a disturbed back end, when a second attempt
	// is worth making at once; see Grant.OnDisturbed.
	Followed bool

	class     string
	disturbed bool   // the request met a disturbance
	told      func() // is called then
}

// Decision is what becomes of an offered request: exactly one of Place, Ticket
// and Refused is set.
type Decision struct {
	Place   *Permit
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

// idle says whether nothing waits and no back end has a request.
func (c *Core) idle() bool {
	return c.Queue.Len() == 0 && !c.Group.Busy()
}

// Offer decides about a new request. payload comes back when the request is
// granted a place later, or is displaced.
func (c *Core) Offer(now time.Time, request Request, payload any) Decision {
	if !c.Group.Available() {
		return Decision{Refused: resultcode.NoBackend}
	}
	if !c.work.of(request.Class).servable(now, request) {
		return Decision{Refused: resultcode.DeadlineTooShort}
	}
	if until, all := c.Group.AllExcluded(now, request.Routing); all {
		if refused := c.refusedUntil(now, request, until); refused != 0 {
			return Decision{Refused: refused}
		}
	}
	if !request.NoWait {
		c.Queue.RecordArrival(now, request.Weight)
	}
	if first := c.Queue.Peek(); first == nil || first.Weight < request.Weight || restricted(first) {
		if result, ok := c.pick(now, request); ok {
			return Decision{Place: c.place(now, now, request, result)}
		}
	}
	if request.NoWait {
		return Decision{Refused: resultcode.WaitExpired}
	}
	ticket := c.ticket(now, request, payload)
	if at, bound := c.Group.SessionBlockedUntil(now, request.Routing); bound && at.After(ticket.Expiry) {
		return Decision{Refused: resultcode.DeadlineTooShort} // no other back end has its session
	}
	verdict, displaced := c.Queue.Offer(now, ticket, c.Group.ServiceInterval(now))
	var decision Decision
	if displaced != nil {
		decision.Displaced = displaced.Payload.(*waiting).payload
	}
	switch verdict {
	case admission.Full:
		decision.Refused = resultcode.QueueFull
	case admission.TooLate:
		decision.Refused = resultcode.DeadlineTooShort
	default:
		decision.Ticket = ticket
	}
	return decision
}

// place returns the place that was picked for a request which came at a time.
func (c *Core) place(now, since time.Time, request Request, result routing.PickResult) *Permit {
	known := c.work.of(request.Class)
	if c.rollout != nil {
		c.rollout.Granted(now, result.Backend.Version)
	}
	place := &Permit{
		PickResult: result, ArrivedAt: since, GrantedAt: now, class: request.Class,
		HedgeAfter: known.hedgeAfter(now, request, result.MostlyFull), Followed: known.follows(now, request),
	}
	if place.Followed {
		c.followed.add(place)
		c.Group.ScheduleArrivalProbe(now, place.Backend)
	}
	return place
}

func (c *Core) ticket(now time.Time, request Request, payload any) *admission.Ticket {
	expiry := request.Deadline
	if request.Wait > 0 && now.Add(request.Wait).Before(expiry) {
		expiry = now.Add(request.Wait)
	}
	return &admission.Ticket{
		Weight: request.Weight, Deadline: request.Deadline, Expiry: expiry, FirstTry: request.FirstTry,
		UsefulUntil: c.work.of(request.Class).useful(request),
		Payload:     &waiting{request: request, since: now, payload: payload},
	}
}

// Done gives a place back. latency counts only for a success.
func (c *Core) Done(now time.Time, place *Permit, outcome routing.Outcome, latency time.Duration) {
	if place.Followed {
		c.followed.remove(place)
	}
	c.judge(now, place, outcome, latency)
	c.Group.Done(place.PickResult, now, outcome, latency)
	c.Queue.RecordRelease(now)
	if outcome == routing.Success {
		c.work.learn(place.class, latency)
	}
}

// Next gives a free place to the waiting request that goes first, and returns
// it with the request's payload; nil when nothing waits or no place is free. It
// is called until it returns nil after every change.
func (c *Core) Next(now time.Time) (*Permit, any) {
	first := c.Queue.Peek()
	if first == nil {
		return nil, nil
	}
	c.applyVersionRule(now)
	if place, payload := c.give(now, first); place != nil || !restricted(first) {
		return place, payload
	}
	// What is left out for the first may be free for those behind it.
	for _, ticket := range c.Queue.PeekN(mostPassing)[1:] {
		if place, payload := c.give(now, ticket); place != nil || !restricted(ticket) {
			return place, payload
		}
	}
	return nil, nil
}

// mostPassing bounds how many waiting requests are looked at for a free place that the first must not use.
const mostPassing = 8

// restricted says whether a waiting request must not use some of the places that others may.
func restricted(ticket *admission.Ticket) bool {
	return ticket.Payload.(*waiting).request.Routing.IsRestricted()
}

// give gives a free place to a waiting request, and returns it with the request's payload; nil where there is none
// that it may use.
func (c *Core) give(now time.Time, ticket *admission.Ticket) (*Permit, any) {
	waiter := ticket.Payload.(*waiting)
	result, ok := c.Group.Pick(now, waiter.request.Routing)
	if !ok {
		return nil, nil
	}
	c.Queue.Remove(ticket)
	return c.place(now, waiter.since, waiter.request, result), waiter.payload
}

// refusedUntil returns as what a request is refused that must not reach any back end until a time, zero: not while
// it waits; 0: it may wait, as a place is of use to it then.
func (c *Core) refusedUntil(now time.Time, request Request, until time.Time) resultcode.Code {
	if until.IsZero() {
		return resultcode.NoBackend
	}
	ticket := c.ticket(now, request, nil)
	if until.After(ticket.Expiry) || !ticket.UsefulUntil.IsZero() && until.After(ticket.UsefulUntil) {
		return resultcode.BackendsPaused
	}
	return 0
}

// Report takes in a load report of a back end.
func (c *Core) Report(now time.Time, state *routing.BackendState, report routing.Report) {
	c.Group.RecordReport(state, report, c.Queue.Len() > 0, now)
}

// Shed takes out the waiting requests that are not likely any more to get a place in
// time, and returns them with their payloads.
func (c *Core) Shed(now time.Time) []ShedRequest {
	if c.Queue.Len() == 0 {
		return nil
	}
	var found []ShedRequest
	for _, ticket := range c.Queue.Shed(now, c.Group.ServiceInterval(now)) {
		waiter := ticket.Payload.(*waiting)
		found = append(found, ShedRequest{Request: waiter.request, Payload: waiter.payload})
	}
	return found
}

// ShedRequest is a request that waited and is refused.
type ShedRequest struct {
	Request Request
	Payload any
}

// Refusal returns what a request is told that is refused a place.
func (c *Core) Refusal(now time.Time, request Request, code resultcode.Code) *resultcode.Failure {
	pace := c.Group.ServiceInterval(now) // a walk over all back ends
	return &resultcode.Failure{Code: code, Detail: c.explain(now, request, code, pace), RetryAfter: c.retryAfter(now, request, pace)}
}

// explain says in words why a request is refused a place, for logs and callers.
func (c *Core) explain(now time.Time, request Request, code resultcode.Code, pace time.Duration) string {
	switch {
	case code == resultcode.NoBackend:
		return c.Group.UnavailableReason()
	case code == resultcode.BackendsPaused:
		return fmt.Sprintf("%d of %d %s", len(request.Routing.Excluded), len(c.Group.States()), routing.PhrasePaused)
	case !c.work.of(request.Class).servable(now, request):
		return fmt.Sprintf("%s are left, the fastest answers take %s",
			request.Deadline.Sub(now).Round(time.Millisecond), c.work.of(request.Class).fastest.Round(time.Millisecond))
	}
	why := "no place in time: " + c.Queue.Describe(now, request.Weight, pace)
	if leftOut := c.Group.RestrictionSummary(now); leftOut != "" {
		why += "; " + leftOut
	}
	return why
}
