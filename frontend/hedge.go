package frontend

import (
	"context"
	"time"

	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

// result is how one exchange of a race ended: exactly one of got and failure is
// set.
type result struct {
	number  int // of the exchange in its race
	got     *received
	failure *resultcode.Failure
}

// race is one attempt that gets a second one beside it when it is slow. The first
// answer counts, the other exchange is broken off. One goroutine owns it.
type race struct {
	attempter *attempter
	results   chan result         // room for both
	running   int                 // exchanges whose result is still to come
	failure   *resultcode.Failure // of those that have failed; nil: none has
	cancels   []context.CancelFunc
	places    chan asked // room for the one that was asked for
	asking    bool
}

// asked is what became of asking for a place for the second attempt.
type asked struct {
	chosen *place // nil: there is none
	err    error  // why
}

// why says why there is no place.
func (a asked) why() string {
	if a.err == nil {
		return "no place"
	}
	return a.err.Error()
}

// race sends the request and, if no answer has come when the policy says so, sends
// it to another back end too. It returns nil once an answer has been passed on.
func (a *attempter) race(ctx context.Context, first *outbound, hedgeAt time.Time) *resultcode.Failure {
	r := &race{attempter: a, results: make(chan result, 2), places: make(chan asked, 1)}
	ctx, cancel := context.WithCancel(ctx)
	defer r.drain()
	defer cancel()
	r.launch(ctx, first)
	timer := time.NewTimer(time.Until(hedgeAt))
	defer timer.Stop()
	disturbed := first.chosen.disturbed
	for {
		select {
		case <-disturbed:
			disturbed = nil
			timer.Stop()
			r.ask(ctx, "disturbed")
		case <-timer.C:
			disturbed = nil
			r.ask(ctx, "slow")
		case one := <-r.places:
			r.asking = false
			r.add(ctx, one)
		case one := <-r.results:
			r.running--
			if one.got != nil {
				r.stopOthers(one.number)
				a.deliver(one.got)
				return nil
			}
			a.call.noteFailure(one.failure)
			r.failure = worse(r.failure, one.failure)
			if r.running == 0 {
				return r.failure
			}
		}
	}
}

// hedgeAt returns when an attempt at a place is slow enough for a second one beside it,
// and false where there is to be none: when the policy says so, or else what was learned
// of the class.
func (a *attempter) hedgeAt(chosen *place) (time.Time, bool) {
	c := a.call
	switch {
	case !c.buffered || !c.decision.Retry:
		return time.Time{}, false
	case a.handler.options.Quarantine.CrashCount(c.fingerprints) > 0:
		return time.Time{}, false // it might end another back end beside the first
	case c.decision.Hedge > 0:
		return c.received.Add(c.decision.Hedge), true
	}
	if chosen.hedgeAfter == 0 {
		return c.deadline, chosen.disturbed != nil
	}
	return chosen.sent.Add(chosen.hedgeAfter), true
}

// launch starts one exchange.
func (r *race) launch(ctx context.Context, sent *outbound) {
	ctx, cancel := context.WithCancel(ctx)
	number := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.running++
	go func() {
		got, failure := r.attempter.exchange(ctx, sent)
		r.results <- result{number: number, got: got, failure: failure}
	}()
}

// ask asks for a place for the second attempt, if the route allows one.
func (r *race) ask(ctx context.Context, cause string) {
	a := r.attempter
	c := a.call
	c.hedge = cause
	others := len(c.service.Target().Backends) - len(c.tried)
	if len(c.tried) >= c.route.Attempts || others <= 0 || c.attempt > 1 {
		c.hedge += ", no attempt left"
		return
	}
	r.asking = true
	request := c.wanted(0, a.handler.options.Zone)
	go func() {
		// Where there is none, the first attempt goes on alone.
		chosen, err := a.acquire(ctx, retry.Hedge, request)
		r.places <- asked{chosen: chosen, err: err}
	}()
}

// add sends the second attempt, unless there was no place for it.
func (r *race) add(ctx context.Context, one asked) {
	if one.chosen == nil {
		r.attempter.call.hedge += ", none: " + one.why()
		return
	}
	sent, failure := r.attempter.prepare(one.chosen)
	if failure != nil {
		return
	}
	r.attempter.handler.metrics.hedges.Inc(1)
	r.launch(ctx, sent)
}

// stopOthers breaks off the other exchange, so that its back end can stop working
// on it.
func (r *race) stopOthers(winner int) {
	for number, cancel := range r.cancels {
		if number != winner {
			cancel()
		}
	}
}

// drain gives back what still comes in after the race is over. It does not block.
func (r *race) drain() {
	running, asking := r.running, r.asking
	if running == 0 && !asking {
		return
	}
	go func() {
		for range running {
			if late := <-r.results; late.got != nil {
				late.got.discard()
			}
		}
		if !asking {
			return
		}
		if one := <-r.places; one.chosen != nil {
			one.chosen.done(routing.Canceled, 0, nil)
		}
	}()
}
