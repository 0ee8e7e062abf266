package dispatch

import (
	"fmt"
	"time"

	"github.com/tuliphall/tuliphall/admission"
	"github.com/tuliphall/tuliphall/fairshare"
	"github.com/tuliphall/tuliphall/quarantine"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/returns"
	"github.com/tuliphall/tuliphall/rollout"
	"github.com/tuliphall/tuliphall/routing"
)

// Request describes a request that asks for a permit.
type Request struct {
	Weight   int
	Wait     time.Duration // maximum wait; 0: until the deadline
	Deadline time.Time
	// FirstTry is when the caller first sent the request, before any refusal and retry; zero:
	// unknown.
	FirstTry time.Time
	// Class is the class that its policy assigns; empty: none. Requests of a class are expected
	// to have similar latencies, which are learned.
	Class string
	// Tenant is the tenant that sent the request; empty: none.
	Tenant string
	// Share is the tenant's share of the capacity; see admission.Queue.DivideByTenant.
	Share float64
	// Objective is the time after FirstTry within which an answer has its full worth; 0: none.
	Objective time.Duration
	// NoWait: the request is refused unless a permit is free now. It is not counted among the
	// arrivals that waiting requests compete with.
	NoWait bool
	// Fingerprints identify repeats of the request; 0: unknown.
	Fingerprints quarantine.Fingerprints
	// Daemon is the daemon that asks for the permit; empty: unknown.
	Daemon  string
	Routing routing.Request
}

// minCallerRetryAge is the age from which a request counts as a retry by its caller. Callers
// state their remaining wait in milliseconds, so that a first try may appear to be a few
// milliseconds old.
const minCallerRetryAge = 10 * time.Millisecond

// IsCallerRetry reports whether the caller was refused before and has retried. A request whose
// first attempt failed after a while counts too, because it has as little time left.
func (r Request) IsCallerRetry(now time.Time) bool {
	return !r.FirstTry.IsZero() && now.Sub(r.FirstTry) >= minCallerRetryAge
}

// objectiveDeadline returns the time until which an answer has its full worth, and false if
// the request has no objective or its first try is unknown.
func (r Request) objectiveDeadline() (time.Time, bool) {
	return r.FirstTry.Add(r.Objective), r.Objective > 0 && !r.FirstTry.IsZero()
}

// Core combines routing and admission for one service. It is pure: the time is passed in and
// nothing blocks. It is not safe for concurrent use; Dispatcher wraps it for the daemon, and
// the lab's simulator runs it in virtual time.
type Core struct {
	Group     *routing.Group
	Queue     *admission.Queue
	latencies statsByClass
	// rollout controls this daemon's part of the service's rollout; nil: there is none.
	rollout *rollout.Controller

	followed followedPermits
	refusals Refusals
	returns  *returns.Table // nil: callers that return when told are served as new ones
	counts   RefusalCounts  // without those of the present returns
	// watched are the permits whose requests may be found to be at a back end that is full and does not
	// answer.
	watched watchedPermits
}

// Permit is the right to send one request to a back end.
type Permit struct {
	routing.PickResult
	ArrivedAt time.Time // when the request arrived
	GrantedAt time.Time // when the permit was granted
	// HedgeAfter is the delay after GrantedAt at which a hedge is worthwhile; 0: unknown.
	HedgeAfter time.Duration
	// Followed: the owner is notified if the request turns out to have met a disturbed back
	// end, when an immediate hedge is worthwhile; see Grant.OnDisturbed.
	Followed bool
	// MayBeSilent: back ends of the service were full and did not answer, and this one may be. A second
	// attempt may then wait for a permit.
	MayBeSilent bool

	charge      fairshare.Charge
	class       string
	reporter    string // daemon that asked for the permit and will report the outcome
	disturbed   bool   // the request met a disturbed back end
	onDisturbed func() // called when disturbed is set
	// watchedNumber is the position of the permit among those watched for silence, from 1 on; 0: it is
	// not watched.
	watchedNumber int
}

// Decision is the outcome of an offered request: exactly one of Permit, Ticket and Refused is
// set.
type Decision struct {
	Permit  *Permit
	Ticket  *admission.Ticket // the request waits
	Refused resultcode.Code
	// Displaced is the payload of a waiting request that is refused with QueueFull to make
	// room; nil if there is none. DisplacedRequest is that request.
	Displaced        any
	DisplacedRequest *Request
}

// waitingRequest is the payload of a ticket.
type waitingRequest struct {
	request   Request
	arrivedAt time.Time
	payload   any
}

// idle reports whether no request is waiting or in flight.
func (c *Core) idle() bool {
	return c.Queue.Len() == 0 && !c.Group.Busy()
}

// Offer decides about a new request. payload is returned when the request gets a permit later
// or is displaced.
func (c *Core) Offer(now time.Time, request Request, payload any) Decision {
	if !c.Group.Available() {
		return Decision{Refused: resultcode.NoBackend}
	}
	if !c.latencies.forClass(request.Class).canMeetDeadline(now, request) {
		return Decision{Refused: resultcode.DeadlineTooShort}
	}
	if until, all := c.Group.AllExcluded(now, request.Routing); all {
		if code := c.refusalWhileExcluded(now, request, until); code != 0 {
			return Decision{Refused: code}
		}
	}
	due := c.takeReturn(now, request)
	if c.countsAsArrival(now, request) {
		c.Queue.RecordArrival(now, request.Weight)
		c.Queue.RecordTenantArrival(now, request.Weight, request.Tenant, request.Share)
	}
	c.Queue.MarkLate(now)
	if first := c.Queue.Peek(); first == nil || c.goesBefore(now, request, first) || c.restricted(first) {
		if picked, ok := c.pick(now, request); ok {
			return Decision{Permit: c.newPermit(now, now, request, picked)}
		}
	}
	if request.NoWait {
		return Decision{Refused: resultcode.WaitExpired}
	}
	ticket := c.newTicket(now, request, payload)
	ticket.Due = due
	if blockedUntil, bound := c.Group.SessionBlockedUntil(now, request.Routing); bound && blockedUntil.After(ticket.Expiry) {
		return Decision{Refused: resultcode.DeadlineTooShort} // only this back end holds the session
	}
	verdict, displaced := c.Queue.Offer(now, ticket, c.Group.ServiceInterval(now))
	var decision Decision
	if displaced != nil {
		waiter := displaced.Payload.(*waitingRequest)
		decision.Displaced, decision.DisplacedRequest = waiter.payload, &waiter.request
	}
	switch verdict {
	case admission.Full:
		decision.Refused = resultcode.QueueFull
	case admission.TooLate:
		decision.Refused = resultcode.DeadlineTooShort
	default:
		decision.Ticket = ticket
		c.recordQueued(ticket)
	}
	return decision
}

// newPermit returns a permit for the picked back end to a request that arrived at arrivedAt.
func (c *Core) newPermit(now, arrivedAt time.Time, request Request, picked routing.PickResult) *Permit {
	stats := c.latencies.forClass(request.Class)
	if c.rollout != nil {
		c.rollout.Granted(now, picked.Backend.Version)
	}
	permit := &Permit{
		PickResult: picked, ArrivedAt: arrivedAt, GrantedAt: now, class: request.Class, reporter: request.Daemon,
		HedgeAfter: stats.hedgeAfter(now, request, picked.MostlyFull), Followed: stats.shouldFollow(now, request),
	}
	c.Queue.Charge(now, &permit.charge, request.Weight, request.Tenant, request.Share, stats.median, request.Deadline.Sub(now))
	if permit.Followed {
		c.followed.add(permit)
		c.Group.ScheduleArrivalProbe(now, permit.Backend)
	}
	c.watchSilence(now, permit, request, stats)
	return permit
}

func (c *Core) newTicket(now time.Time, request Request, payload any) *admission.Ticket {
	expiry := request.Deadline
	if request.Wait > 0 && now.Add(request.Wait).Before(expiry) {
		expiry = now.Add(request.Wait)
	}
	ticket := &admission.Ticket{
		Weight: request.Weight, Deadline: request.Deadline, Expiry: expiry, FirstTry: request.FirstTry,
		Tenant: request.Tenant, Share: request.Share, AnswerableUntil: request.Deadline.Add(-c.latencies.forClass(request.Class).median),
		Payload: &waitingRequest{request: request, arrivedAt: now, payload: payload},
	}
	ticket.InTimeUntil, ticket.UsefulUntil = c.latencies.forClass(request.Class).usefulUntil(request, c.refusals.LateWait)
	return ticket
}

// Done releases a permit. latency is used only for a success.
func (c *Core) Done(now time.Time, permit *Permit, outcome routing.Outcome, latency time.Duration) {
	if permit.Followed {
		c.followed.remove(permit)
	}
	c.watched.remove(permit)
	if outcome == routing.NoContact {
		outcome = c.Group.AttributeNoContact(permit.PickResult, permit.GrantedAt)
	}
	c.recordRolloutSample(now, permit, outcome, latency)
	c.Group.Done(permit.PickResult, now, outcome, latency)
	c.Queue.Settle(now, &permit.charge)
	c.Queue.RecordRelease(now)
	if outcome == routing.Success || outcome == routing.AnsweredAtCallersPace {
		c.latencies.record(permit.class, latency)
	}
}

// Next grants a free permit to the waiting request of the highest priority, and returns it
// with the request's payload. It returns nil if no request waits or no permit is free. After
// every change it must be called until it returns nil.
func (c *Core) Next(now time.Time) (*Permit, any) {
	c.Queue.MarkLate(now)
	first := c.Queue.Peek()
	if first == nil {
		return nil, nil
	}
	c.applyVersionRule(now)
	if permit, payload := c.tryGrant(now, first); permit != nil || !c.restricted(first) {
		return permit, payload
	}
	// Back ends that the first request must not use may be free for those behind it.
	for _, ticket := range c.Queue.PeekN(maxBypassScan)[1:] {
		if permit, payload := c.tryGrant(now, ticket); permit != nil || !c.restricted(ticket) {
			return permit, payload
		}
	}
	return nil, nil
}

// maxBypassScan bounds how many waiting requests are tried for a permit that the first one
// must not use.
const maxBypassScan = 8

// restricted reports whether a waiting request must not use some back ends that others may
// use. While capacity is divided, this includes sessions: a tenant must not wait behind another
// one's session whose back end must be sent nothing for a while.
func (c *Core) restricted(ticket *admission.Ticket) bool {
	request := &ticket.Payload.(*waitingRequest).request
	return request.Routing.IsRestricted() || request.Routing.Session != "" && c.Queue.Divided()
}

// tryGrant grants a waiting request a permit that it may use, and returns it with the
// request's payload, or nil if there is none.
func (c *Core) tryGrant(now time.Time, ticket *admission.Ticket) (*Permit, any) {
	waiter := ticket.Payload.(*waitingRequest)
	waiter.request.Routing.Urgent = isUrgent(now, waiter.arrivedAt, ticket)
	picked, ok := c.Group.Pick(now, waiter.request.Routing)
	if !ok {
		return nil, nil
	}
	c.Queue.Remove(ticket)
	c.recordGranted(ticket)
	return c.newPermit(now, waiter.arrivedAt, waiter.request, picked), waiter.payload
}

// refusalWhileExcluded returns the code with which to refuse a request that must not reach any
// back end before until, or 0 if the request may wait because a permit is still useful then.
// A zero until means that the exclusions do not end while the request waits.
func (c *Core) refusalWhileExcluded(now time.Time, request Request, until time.Time) resultcode.Code {
	if until.IsZero() {
		return resultcode.NoBackend
	}
	ticket := c.newTicket(now, request, nil)
	if until.After(ticket.Expiry) || !ticket.UsefulUntil.IsZero() && until.After(ticket.UsefulUntil) {
		return resultcode.BackendsPaused
	}
	return 0
}

// RecordReport records a load report of a back end.
func (c *Core) RecordReport(now time.Time, state *routing.BackendState, report routing.Report) {
	c.Group.RecordReport(state, report, c.Queue.Len() > 0, now)
}

// Shed removes the waiting requests that are no longer likely to get a permit in time, and
// returns them with their payloads.
func (c *Core) Shed(now time.Time) []ShedRequest {
	if c.Queue.Len() == 0 {
		return nil
	}
	var shed []ShedRequest
	for _, ticket := range c.Queue.Shed(now, c.Group.ServiceInterval(now)) {
		waiter := ticket.Payload.(*waitingRequest)
		shed = append(shed, ShedRequest{Request: waiter.request, Payload: waiter.payload})
	}
	return shed
}

// ShedRequest is a waiting request that is refused.
type ShedRequest struct {
	Request Request
	Payload any
}

// Refusal returns the failure to report for a request that is refused a permit.
func (c *Core) Refusal(now time.Time, request Request, code resultcode.Code) *resultcode.Failure {
	serviceInterval := c.Group.ServiceInterval(now) // scans all back ends
	return &resultcode.Failure{Code: code, Detail: c.refusalDetail(now, request, code, serviceInterval), RetryAfter: c.tellReturn(now, request, c.retryAfter(now, request, serviceInterval), serviceInterval)}
}

// refusalDetail describes why a request is refused a permit, for logs and callers.
func (c *Core) refusalDetail(now time.Time, request Request, code resultcode.Code, serviceInterval time.Duration) string {
	switch {
	case code == resultcode.NoBackend:
		return c.Group.UnavailableReason()
	case code == resultcode.BackendsPaused:
		return fmt.Sprintf("%d of %d %s", len(request.Routing.Excluded), len(c.Group.States()), routing.PhrasePaused)
	case !c.latencies.forClass(request.Class).canMeetDeadline(now, request):
		return fmt.Sprintf("%s are left, the fastest answers take %s",
			request.Deadline.Sub(now).Round(time.Millisecond), c.latencies.forClass(request.Class).fastest.Round(time.Millisecond))
	}
	detail := c.refusalCause(now, request) + ": " + c.Queue.Describe(now, request.Weight, serviceInterval)
	if ledger := c.Queue.Ledger(); ledger != nil {
		if shares := ledger.Describe(now, request.Weight, request.Tenant); shares != "" {
			detail += "; " + shares
		}
	}
	if restrictions := c.Group.RestrictionSummary(now); restrictions != "" {
		detail += "; " + restrictions
	}
	return detail
}
