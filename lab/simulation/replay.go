package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/admission"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

const (
	// replayRecheck is how often the dispatcher looks again while requests wait.
	replayRecheck = 20 * time.Millisecond
	// replayQueue bounds the waiting requests, as a service's default does.
	replayQueue = 1000
	// patientShare is for how much of the time that is left callers obey Retry-After.
	patientShare = 1.0 / 3
)

// replay plays a pattern to the decisions of one dispatcher.
type replay struct {
	clock
	pattern Pattern
	random  *rand.Rand
	core    dispatch.Core
	budget  retry.Budget
	workers []*worker
	byID    map[string]*worker
	burst   float64 // on all arrivals
	queued  []*try  // those that have waited since the last dispatcher began
	outcome *Outcome
}

// caller is one caller's request with its tries.
type caller struct {
	class    PatternClass
	begun    time.Time
	deadline time.Time
	retries  int // left
	refused  int // so far
	work     time.Duration
}

// try is one try of a caller, as a daemon sees it.
type try struct {
	*caller
	came     time.Time
	tried    []string
	attempts int
	running  []*attempt
	ticket   *admission.Ticket // nil unless it waits
	over     bool              // answered, refused or given up
}

// attempt is a try at one back end.
type attempt struct {
	place  *dispatch.Permit
	worker *worker
	job    *job
	over   bool
}

// Replay plays a pattern and returns what the callers got.
func Replay(pattern Pattern, seed uint64) *Outcome {
	r := &replay{
		pattern: pattern, random: rand.New(rand.NewPCG(seed, 1)), byID: make(map[string]*worker), burst: 1,
		outcome: newOutcome(pattern),
		budget:  retry.Budget{Ratio: pattern.RetryRatio, Burst: pattern.RetryBurst},
	}
	r.addWorkers(pattern.Backends.Count)
	r.forget()
	r.recheck()
	for number, class := range pattern.Classes {
		// Arrivals and work have randomness of their own, so that they are the same
		// whatever is decided.
		r.arrivals(class, rand.New(rand.NewPCG(seed, uint64(10+number))))
	}
	for _, trouble := range pattern.Events {
		r.trouble(trouble)
	}
	// What was asked last is followed to its end.
	r.run(time.Duration(pattern.Duration))
	r.burst = 0
	r.run(2 * time.Duration(pattern.Duration))
	r.outcome.seen(r.workers)
	return r.outcome
}

func (r *replay) addWorkers(count int) []*worker {
	declared := r.pattern.Backends
	var added []*worker
	for range count {
		number := len(r.workers)
		one := newWorker(&r.clock, rand.New(rand.NewPCG(r.random.Uint64(), uint64(number))), fmt.Sprintf("w%04d", number), 0, declared.Slots)
		one.knee, one.kneeFactor, one.limit = declared.Knee, declared.KneeFactor, declared.Queue
		one.disturb(Noise{Slowdown: declared.Slowdown, Noisy: time.Duration(declared.Noisy), Quiet: time.Duration(declared.Quiet)})
		r.workers, r.byID[one.id] = append(r.workers, one), one
		added = append(added, one)
	}
	return added
}

// forget starts a dispatcher that knows the back ends' names only.
func (r *replay) forget() {
	group := routing.NewGroup(routing.Options{
		Picker: routing.LeastLoad{}, Random: rand.New(rand.NewPCG(r.random.Uint64(), 2)), Overcommit: routing.DefaultOvercommit, SlowStart: true,
	})
	r.core = dispatch.Core{Group: group, Queue: admission.NewQueue(replayQueue)}
	r.configure()
	queued := r.queued
	r.queued = nil
	for _, one := range queued {
		if one.ticket != nil {
			one.ticket = nil
			r.offer(one) // its daemon asks again
		}
	}
}

// configure tells the dispatcher which back ends there are.
func (r *replay) configure() {
	backends := make([]routing.Backend, 0, len(r.workers))
	for _, one := range r.workers {
		backends = append(backends, routing.Backend{
			ID: one.id, Slots: one.slots, Window: one.slots, Warm: r.clock.now >= one.coldUntil,
			WarmUp: routing.WarmUp{Duration: time.Duration(r.pattern.Backends.WarmUp), PerSecond: r.pattern.Backends.ColdRate},
		})
	}
	r.core.Group.SetBackends(r.time(), backends)
}

func (r *replay) arrivals(class PatternClass, random *rand.Rand) {
	gap := time.Duration(random.ExpFloat64() / class.PerSecond / max(r.burst, 1) * float64(time.Second))
	r.after(gap, func() {
		if r.burst == 0 {
			return // the pattern is over
		}
		asking := &caller{class: class, begun: r.time(), deadline: r.time().Add(time.Duration(class.Deadline)), retries: class.CallerRetries, work: class.draw(random)}
		r.outcome.of(class).Requests++
		r.ask(asking)
		r.arrivals(class, random)
	})
}

// ask sends a try of a caller to its daemon, and from there to the dispatcher.
func (r *replay) ask(asking *caller) {
	r.after(2*r.pattern.wire(), func() {
		r.budget.Earn()
		r.offer(&try{caller: asking, came: r.time()})
	})
}

func (p Pattern) wire() time.Duration {
	return time.Duration(p.MessageDelay)
}

func (r *replay) request(one *try, spare bool) dispatch.Request {
	return dispatch.Request{
		Weight: one.class.Weight, Deadline: one.deadline, FirstTry: one.begun, Class: one.class.Name,
		Objective: time.Duration(one.class.Objective), NoWait: spare,
		Routing: routing.Request{Tried: slices.Clone(one.tried), Repeatable: one.class.Repeatable},
	}
}

// offer asks the dispatcher for a place.
func (r *replay) offer(one *try) {
	request := r.request(one, false)
	decision := r.core.Offer(r.time(), request, one)
	if decision.Displaced != nil {
		r.refuse(decision.Displaced.(*try))
	}
	switch {
	case decision.Permit != nil:
		r.send(one, decision.Permit)
	case decision.Ticket == nil:
		r.refuse(one)
	default:
		one.ticket = decision.Ticket
		r.queued = append(r.queued, one)
		r.after(decision.Ticket.Expiry.Sub(r.time()), func() {
			if one.ticket == decision.Ticket && r.core.Queue.Remove(decision.Ticket) {
				r.refuse(one)
			}
		})
	}
}

// recheck looks again for places that time has brought and for requests without hope.
func (r *replay) recheck() {
	r.after(replayRecheck, func() {
		r.serve()
		for _, one := range r.core.Shed(r.time()) {
			r.refuse(one.Payload.(*try))
		}
		r.recheck()
	})
}

// serve gives places to the requests that wait.
func (r *replay) serve() {
	for {
		place, payload := r.core.Next(r.time())
		if place == nil {
			return
		}
		waited := payload.(*try)
		waited.ticket = nil
		r.send(waited, place)
	}
}

// refuse tells a caller that it gets no place, and lets it come back.
func (r *replay) refuse(one *try) {
	r.refuseFor(one, r.core.Refusal(r.time(), r.request(one, false), resultcode.DeadlineTooShort).RetryAfter)
}

// refuseFor tells a caller to come back after a time.
func (r *replay) refuseFor(one *try, advice time.Duration) {
	if one.over {
		return
	}
	one.over, one.ticket = true, nil
	r.outcome.refused(one, r.time().Sub(one.came))
	one.refused++
	r.after(2*r.pattern.wire(), func() { r.comeBack(one.caller, advice) })
}

// comeBack lets a caller try again, as it was told.
func (r *replay) comeBack(asking *caller, advice time.Duration) {
	left := asking.deadline.Sub(r.time())
	if asking.retries == 0 || left <= 0 {
		r.outcome.gaveUp(asking)
		return
	}
	asking.retries--
	if r.random.Float64() < asking.class.ImmediateRetryShare {
		advice = 0
	}
	r.after(min(advice, time.Duration(patientShare*float64(left))), func() { r.ask(asking) })
}
