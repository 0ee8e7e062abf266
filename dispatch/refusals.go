package dispatch

import (
	"time"

	"github.com/tuliphall/tuliphall/admission"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/returns"
)

// Refusals are the settings that decide what happens to requests for which there is no capacity.
type Refusals struct {
	// LateWait: requests whose latency objective has passed wait behind the others; see
	// config.Service.LateRequests.
	LateWait bool
	// HonorReturns: callers that return when told are served before new ones; see
	// config.Service.HonorReturns.
	HonorReturns bool
}

// SetRefusals changes the settings. Requests that already wait keep their order.
func (c *Core) SetRefusals(settings Refusals) {
	c.refusals = settings
	switch {
	case !settings.HonorReturns:
		c.counts = c.RefusalCounts()
		c.returns = nil
	case c.returns == nil:
		c.returns = new(returns.Table)
	}
}

// SetRefusals changes the settings for requests for which there is no capacity.
func (d *Dispatcher) SetRefusals(settings Refusals) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.core.SetRefusals(settings)
}

// returnsRequest returns the request as package returns identifies it.
func (r Request) returnsRequest() returns.Request {
	return returns.Request{
		Key:      returns.Key{Fingerprint: uint64(r.Fingerprints.Exact), Tenant: r.Tenant, Class: r.Class},
		FirstTry: r.FirstTry, Deadline: r.Deadline,
	}
}

// takeReturn returns the time for which the caller of a new request was told to return; zero: it was
// not, or has come earlier.
func (c *Core) takeReturn(now time.Time, request Request) time.Time {
	if c.returns == nil || request.NoWait {
		return time.Time{}
	}
	due, _ := c.returns.Take(now, request.returnsRequest())
	return due
}

// countsAsArrival reports whether a new request is counted among the arrivals that waiting requests
// compete with. With HonorReturns, retries are not: most stand behind newer first tries, and there is
// capacity for those that were told their time. If they were counted, new requests would appear unlikely
// to be served, and thus be refused and retried, long after the overload.
func (c *Core) countsAsArrival(now time.Time, request Request) bool {
	return !request.NoWait && (c.returns == nil || !request.IsCallerRetry(now))
}

// goesBefore reports whether a new request may be granted a permit although first waits: it has a
// higher weight, or first is late and the request is not. While capacity is divided, that holds
// for requests of one tenant only.
func (c *Core) goesBefore(now time.Time, request Request, first *admission.Ticket) bool {
	if first.Weight != request.Weight {
		return first.Weight < request.Weight
	}
	comparable := !c.Queue.Divided() || first.Tenant == request.Tenant
	return comparable && first.Late() && !c.isLate(now, request)
}

// isLate reports whether an answer to a request would commonly miss its latency objective.
func (c *Core) isLate(now time.Time, request Request) bool {
	until, given := c.latencies.forClass(request.Class).inTimeUntil(request)
	return given && !now.Before(until)
}

// tellReturn returns the Retry-After for a request that is refused, and records when its caller is
// told to return. usual is the Retry-After without the table of returns. A caller for which there
// is no capacity while its answer can commonly be in time is told the usual time and is served as a
// new one.
func (c *Core) tellReturn(now time.Time, request Request, usual, serviceInterval time.Duration) time.Duration {
	switch {
	case c.returns == nil || request.NoWait:
		return usual
	case !c.Group.Available():
		return spread(request, usual) // the releases of the last second do not continue
	}
	due, given := c.returns.Give(now, request.returnsRequest(), c.lane(request), returns.Window{
		Earliest: now.Add(max(c.earliestReturn(now, request, serviceInterval), minRetryAfter)),
		Latest:   c.latestReturn(now, request),
		Interval: permitsPerReturn * c.Queue.ReleaseInterval(now, request.Weight, request.Tenant, request.Share, serviceInterval),
	})
	if !given {
		return spread(request, usual)
	}
	return due.Sub(now)
}

// lane returns the requests with which a request shares capacity.
func (c *Core) lane(request Request) returns.Lane {
	lane := returns.Lane{Weight: request.Weight}
	if c.Queue.Divided() {
		lane.Tenant = request.Tenant
	}
	return lane
}

// earliestReturn returns the time until there may be capacity for a request: until those that wait
// now have been served, and the back ends that it may use take requests.
func (c *Core) earliestReturn(now time.Time, request Request, serviceInterval time.Duration) time.Duration {
	wait := c.Queue.EstimateTenantWait(now, request.Weight, request.Tenant, request.Share, serviceInterval)
	if until, all := c.Group.AllExcluded(now, request.Routing); all {
		wait = max(wait, until.Sub(now))
	}
	if until, bound := c.Group.SessionBlockedUntil(now, request.Routing); bound {
		wait = max(wait, until.Sub(now))
	}
	return wait
}

// latestReturn returns the latest time at which a caller may be told to return. The slowest answers
// of the class must still be in time then: with the median, many returning callers would be served late
// in place of new ones (docs/design/0006-refusals.md).
func (c *Core) latestReturn(now time.Time, request Request) time.Time {
	latest := now.Add(max(request.Deadline.Sub(now), 0) / returnHorizonParts)
	if objective, given := request.objectiveDeadline(); given {
		if until := objective.Add(-c.latencies.forClass(request.Class).slowest); until.Before(latest) {
			return until
		}
	}
	return latest
}

// displacedRefusal returns the failure of the request that was displaced by another one.
func (c *Core) displacedRefusal(now time.Time, arrived Request, decision Decision) *resultcode.Failure {
	if c.returns == nil && !c.refusals.LateWait && !c.Queue.Divided() {
		return c.Refusal(now, arrived, resultcode.QueueFull)
	}
	return c.Refusal(now, *decision.DisplacedRequest, resultcode.QueueFull)
}

// expiryRetryAfter returns the Retry-After for a request whose wait has ended with a code. A caller
// that is gone is told nothing.
func (c *Core) expiryRetryAfter(now time.Time, request Request, code resultcode.Code) time.Duration {
	usual := ageRetryAfter(now, request)
	if c.returns == nil || code == resultcode.CallerGone {
		return usual
	}
	return c.tellReturn(now, request, usual, c.Group.ServiceInterval(now))
}

// refusalCause describes why a request gets no permit, for logs and callers.
func (c *Core) refusalCause(now time.Time, request Request) string {
	if !c.isLate(now, request) {
		return "no place in time"
	}
	objective, _ := request.objectiveDeadline()
	cause := "no place before its deadline"
	if !c.refusals.LateWait {
		cause = "no place is free, and late requests do not wait"
	}
	if now.Before(objective) {
		return "an answer within its latency objective is unlikely, " + cause
	}
	return "its latency objective passed " + now.Sub(objective).Round(time.Millisecond).String() + " ago, " + cause
}

// RefusalCounts counts decisions about requests for which there was no capacity at once.
type RefusalCounts struct {
	LateQueued  uint64 // late requests that began to wait
	LateGranted uint64 // waiting requests that got a permit when they were late
	Returns     returns.Stats
}

func (c *Core) recordQueued(ticket *admission.Ticket) {
	if ticket.Late() {
		c.counts.LateQueued++
	}
}

func (c *Core) recordGranted(ticket *admission.Ticket) {
	if ticket.Late() {
		c.counts.LateGranted++
	}
}

// RefusalCounts returns the counts since the core was made.
func (c *Core) RefusalCounts() RefusalCounts {
	counts := c.counts
	if c.returns != nil {
		counts.Returns = counts.Returns.Plus(c.returns.Stats())
	}
	return counts
}

// RefusalCounts returns the counts of decisions about requests for which there was no capacity.
func (d *Dispatcher) RefusalCounts() RefusalCounts {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.core.RefusalCounts()
}
