package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/admission"
	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/quarantine"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

const (
	// replayRecheckInterval is how often the dispatcher checks the waiting requests.
	replayRecheckInterval = 20 * time.Millisecond
	// replayQueueLimit bounds the waiting requests, as the default of a service does.
	replayQueueLimit = 1000
	// maxRetryDelayShare is the largest share of the remaining time that callers wait for
	// Retry-After.
	maxRetryDelayShare = 1.0 / 3
)

// replay is the state of one replay.
type replay struct {
	clock
	pattern    Pattern
	random     *rand.Rand
	core       dispatch.Core
	budget     retry.Budget
	workers    []*worker
	byID       map[string]*worker
	rateFactor float64 // on all arrival rates; 0: arrivals have ended
	queued     []*try  // since the current dispatcher started; may have left the queue
	callers    int     // that have sent their first try
	outcome    *Outcome
	known      knownSpeeds
	noise      noiseModel
}

// caller is a request of a caller, which may take several tries.
type caller struct {
	class       PatternClass
	zone        int
	startedAt   time.Time
	deadline    time.Time
	retriesLeft int
	refusals    int
	number      int
	work        time.Duration
}

// try is one request to a daemon: the first of a caller or a retry.
type try struct {
	*caller
	arrivedAt       time.Time
	tried           []string
	attemptCount    int
	unsentCount     int // attempts whose connection was refused
	backendAttempts []*attempt
	ticket          *admission.Ticket // nil unless queued
	finished        bool              // answered or refused
}

// attempt is an attempt of the daemon at one back end.
type attempt struct {
	permit   *dispatch.Permit
	worker   *worker
	job      *job
	finished bool
}

// Replay runs a pattern and returns the results of its callers.
func Replay(pattern Pattern, seed uint64) *Outcome {
	r := &replay{
		pattern: pattern, random: rand.New(rand.NewPCG(seed, 1)), byID: make(map[string]*worker), rateFactor: 1,
		outcome: newOutcome(pattern), known: make(knownSpeeds),
		budget: retry.Budget{Ratio: pattern.RetryRatio, Burst: pattern.RetryBurst},
	}
	if len(pattern.Classes) > 0 {
		r.noise = newNoiseModel(pattern.Backends.noise(), time.Duration(pattern.Classes[0].Work))
	}
	r.addWorkers(pattern.Backends.Count)
	r.replaceDispatcher()
	r.scheduleRecheck()
	r.scheduleLoadProbes()
	for number, class := range pattern.Classes {
		// Each class has its own random source, so that arrivals and service times do
		// not depend on the decisions.
		r.scheduleArrival(class, rand.New(rand.NewPCG(seed, uint64(10+number))))
	}
	for _, event := range pattern.Events {
		r.scheduleEvent(event)
	}
	// Arrivals end with the pattern; the requests sent by then run to their end.
	r.runUntil(time.Duration(pattern.Duration))
	r.rateFactor = 0
	r.runUntil(2 * time.Duration(pattern.Duration))
	r.outcome.recordWorkers(r.workers)
	return r.outcome
}

func (r *replay) addWorkers(count int) []*worker {
	options := r.pattern.Backends
	var added []*worker
	for range count {
		number := len(r.workers)
		backend := newWorker(&r.clock, rand.New(rand.NewPCG(r.random.Uint64(), uint64(number))), fmt.Sprintf("w%04d", number), r.pattern.Zones.ofWorker(number), options.Slots)
		backend.knee, backend.kneeFactor, backend.queueLimit = options.Knee, options.KneeFactor, options.Queue
		backend.startNoise(options.noise())
		r.workers, r.byID[backend.id] = append(r.workers, backend), backend
		added = append(added, backend)
	}
	return added
}

// replaceDispatcher starts a dispatcher without any state of the back ends. Daemons
// send it the requests that wait.
func (r *replay) replaceDispatcher() {
	group := routing.NewGroup(routing.Options{
		Picker: r.picker(), Random: rand.New(rand.NewPCG(r.random.Uint64(), 2)), Overcommit: routing.DefaultOvercommit, SlowStart: true,
	})
	group.SetGradualReturn(r.pattern.GradualReturn)
	r.core = dispatch.Core{Group: group, Queue: admission.NewQueue(replayQueueLimit)}
	r.core.SetRefusals(dispatch.Refusals{LateWait: r.pattern.LateRequests == config.LateRequestsWait, HonorReturns: r.pattern.HonorReturns})
	r.updateBackends()
	queued := r.queued
	r.queued = nil
	for _, t := range queued {
		if t.ticket != nil {
			t.ticket = nil
			r.offer(t)
		}
	}
}

// updateBackends sets the back ends of the dispatcher.
func (r *replay) updateBackends() {
	backends := make([]routing.Backend, 0, len(r.workers))
	for _, backend := range r.workers {
		backends = append(backends, routing.Backend{
			ID: backend.id, Zone: r.pattern.Zones.name(backend.zone), Started: int64(backend.run), Slots: backend.slots, Window: backend.slots, Warm: r.clock.now >= backend.coldUntil,
			WarmUp: routing.WarmUp{Duration: time.Duration(r.pattern.Backends.WarmUp), PerSecond: r.pattern.Backends.WarmUpRate},
		})
	}
	r.core.Group.SetBackends(r.time(), backends)
}

func (r *replay) scheduleArrival(class PatternClass, random *rand.Rand) {
	gap := time.Duration(random.ExpFloat64() / class.PerSecond / max(r.rateFactor, 1) * float64(time.Second))
	r.after(gap, func() {
		if r.rateFactor == 0 {
			return // the pattern has ended
		}
		r.callers++
		sender := &caller{number: r.callers, class: class, zone: r.pattern.Zones.draw(r.clock.now, random), startedAt: r.time(), deadline: r.time().Add(time.Duration(class.Deadline)), retriesLeft: class.CallerRetries, work: class.drawWork(random)}
		r.outcome.forClass(class).Requests++
		r.outcome.second(r.clock.now).Arrived++
		r.sendTry(sender)
		r.scheduleArrival(class, random)
	})
}

// sendTry sends a try from a caller to its daemon and from there to the dispatcher.
func (r *replay) sendTry(sender *caller) {
	r.after(2*r.pattern.messageDelay(), func() {
		r.budget.Earn()
		r.offer(&try{caller: sender, arrivedAt: r.time()})
	})
}

func (p Pattern) messageDelay() time.Duration {
	return time.Duration(p.MessageDelay)
}

func (r *replay) dispatchRequest(t *try, noWait bool) dispatch.Request {
	zone := r.pattern.Zones.name(t.zone)
	if r.pattern.Placement == PlacementOwnAnyZone {
		zone = ""
	}
	return dispatch.Request{
		Weight: t.class.Weight, Deadline: t.deadline, FirstTry: t.startedAt, Class: t.class.Name,
		Objective: time.Duration(t.class.Objective), NoWait: noWait,
		Fingerprints: quarantine.Fingerprints{Exact: quarantine.Fingerprint(t.number)},
		Routing:      routing.Request{Tried: slices.Clone(t.tried), Repeatable: t.class.Repeatable, Zone: zone},
	}
}

// offer asks the dispatcher for a permit.
func (r *replay) offer(t *try) {
	request := r.dispatchRequest(t, false)
	r.learnPresent()
	decision := r.core.Offer(r.time(), request, t)
	if decision.Displaced != nil {
		r.refuse(decision.Displaced.(*try))
	}
	switch {
	case decision.Permit != nil:
		r.send(t, decision.Permit)
	case decision.Ticket == nil:
		r.refuse(t)
	default:
		t.ticket = decision.Ticket
		r.queued = append(r.queued, t)
		r.after(decision.Ticket.Expiry.Sub(r.time()), func() {
			if t.ticket == decision.Ticket && r.core.Queue.Remove(decision.Ticket) {
				r.refuse(t)
			}
		})
	}
}

// scheduleRecheck periodically sends waiting requests for which there are permits by now,
// and refuses those that can no longer be served in time.
func (r *replay) scheduleRecheck() {
	r.after(replayRecheckInterval, func() {
		r.serveWaiting()
		second := r.outcome.second(r.clock.now)
		second.Waiting = max(second.Waiting, r.core.Queue.Len())
		for _, ticket := range r.core.Shed(r.time()) {
			r.refuse(ticket.Payload.(*try))
		}
		r.scheduleRecheck()
	})
}

// serveWaiting sends the waiting requests for which there are permits.
func (r *replay) serveWaiting() {
	if r.core.Queue.Len() > 0 {
		r.learnPresent()
	}
	for {
		permit, payload := r.core.Next(r.time())
		if permit == nil {
			return
		}
		t := payload.(*try)
		t.ticket = nil
		r.send(t, permit)
	}
}

// refuse refuses a try with the Retry-After that the dispatcher gives.
func (r *replay) refuse(t *try) {
	r.refuseWithRetryAfter(t, r.core.Refusal(r.time(), r.dispatchRequest(t, false), resultcode.DeadlineTooShort).RetryAfter)
}

// refuseWithRetryAfter refuses a try with the given Retry-After.
func (r *replay) refuseWithRetryAfter(t *try, retryAfter time.Duration) {
	if t.finished {
		return
	}
	t.finished, t.ticket = true, nil
	r.outcome.recordRefusal(t, r.clock.now, r.time().Sub(t.arrivedAt))
	r.recordRefusalZones(t)
	t.refusals++
	r.after(2*r.pattern.messageDelay(), func() { r.scheduleCallerRetry(t.caller, retryAfter) })
}

// scheduleCallerRetry makes a caller retry after Retry-After, or give up.
func (r *replay) scheduleCallerRetry(sender *caller, retryAfter time.Duration) {
	remaining := sender.deadline.Sub(r.time())
	if sender.retriesLeft == 0 || remaining <= 0 {
		r.outcome.recordGiveUp(sender)
		return
	}
	sender.retriesLeft--
	if r.random.Float64() < sender.class.ImmediateRetryShare {
		retryAfter = 0
	}
	r.after(min(retryAfter, time.Duration(maxRetryDelayShare*float64(remaining))), func() {
		r.outcome.second(r.clock.now).Retried++
		r.sendTry(sender)
	})
}
