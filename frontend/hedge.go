package frontend

import (
	"context"
	"time"

	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

// exchangeResult is the result of one exchange of a hedged attempt: exactly one of resp and failure
// is set.
type exchangeResult struct {
	number  int // index of the exchange in cancels
	resp    *backendResponse
	failure *resultcode.Failure
}

// hedgedAttempt is an attempt that is joined by a hedge if it is slow. The first response is used and
// the other exchange canceled. It is owned by one goroutine.
type hedgedAttempt struct {
	attempter  *attempter
	results    chan exchangeResult // buffered for both exchanges
	running    int                 // exchanges without a result so far
	failure    *resultcode.Failure // to report of the failed exchanges; nil: none has failed
	cancels    []context.CancelFunc
	permits    chan permitResult // buffered for the one that is requested
	requesting bool
	kind       retry.Kind // of the permit that is requested
	// mayBeSilent: the first back end may be full and not answer.
	mayBeSilent bool
	again       <-chan time.Time // when a permit is requested again; nil: it is not
}

// permitResult is the result of acquiring a permit for the hedge.
type permitResult struct {
	permit *grantedPermit // nil: none was granted
	err    error          // why no permit was granted
}

// reason returns why no permit was granted.
func (a permitResult) reason() string {
	if a.err == nil {
		return "no place"
	}
	return a.err.Error()
}

// runHedged sends the request and, if no response has arrived at hedgeAt, also sends it to another
// back end. It returns nil once a response has been relayed.
func (a *attempter) runHedged(ctx context.Context, first *outboundRequest, hedgeAt time.Time) *resultcode.Failure {
	r := &hedgedAttempt{attempter: a, mayBeSilent: first.permit.mayBeSilent, results: make(chan exchangeResult, 2), permits: make(chan permitResult, 1)}
	ctx, cancel := context.WithCancel(ctx)
	defer r.discardLate()
	defer cancel()
	r.startExchange(ctx, first)
	timer := time.NewTimer(time.Until(hedgeAt))
	defer timer.Stop()
	disturbed := first.permit.disturbed
	for {
		select {
		case <-disturbed:
			disturbed = nil
			timer.Stop()
			r.requestPermit(ctx, "disturbed")
		case <-timer.C:
			disturbed = nil
			r.requestPermit(ctx, "slow")
		case <-r.again:
			r.again = nil
			r.requestPermitOf(ctx, retry.Retry)
		case granted := <-r.permits:
			r.requesting = false
			r.startHedge(ctx, granted)
		case result := <-r.results:
			r.running--
			if result.resp != nil {
				r.cancelOthers(result.number)
				a.deliver(ctx, result.resp)
				return nil
			}
			a.call.recordFailure(result.failure)
			r.failure = failureToReport(r.failure, result.failure)
			if r.running == 0 {
				return r.failure
			}
		}
	}
}

// hedgeAt returns when an attempt with a permit is slow enough for a hedge, and false if there is to
// be none. The time is set by the policy or else derived from the observed latencies of the class.
func (a *attempter) hedgeAt(permit *grantedPermit) (time.Time, bool) {
	c := a.call
	switch {
	case !c.buffered || !c.decision.Retry:
		return time.Time{}, false
	case a.handler.options.Quarantine.CrashCount(c.fingerprints) > 0:
		return time.Time{}, false // the request may crash a second back end
	case c.decision.Hedge > 0:
		return c.received.Add(c.decision.Hedge), true
	}
	if permit.hedgeAfter == 0 {
		return c.deadline, permit.disturbed != nil
	}
	return permit.sent.Add(permit.hedgeAfter), true
}

func (r *hedgedAttempt) startExchange(ctx context.Context, sent *outboundRequest) {
	ctx, cancel := context.WithCancel(ctx)
	number := len(r.cancels)
	r.cancels = append(r.cancels, cancel)
	r.running++
	go func() {
		resp, failure := r.attempter.exchange(ctx, sent)
		r.results <- exchangeResult{number: number, resp: resp, failure: failure}
	}()
}

// requestPermit requests a permit for the hedge, if the route allows another attempt.
func (r *hedgedAttempt) requestPermit(ctx context.Context, cause string) {
	a := r.attempter
	c := a.call
	c.hedge = cause
	others := len(c.service.Target().Backends) - len(c.tried)
	if len(c.tried) >= c.route.Attempts || others <= 0 || c.attempt > 1 {
		c.hedge += ", no attempt left"
		return
	}
	r.requestPermitOf(ctx, retry.Hedge)
}

// secondAttemptInterval is the time after which a permit for the second attempt is requested again if the
// retry budget or the queue did not allow it: a service with 100 requests a second earns one retry in it.
const secondAttemptInterval = 100 * time.Millisecond

// requestPermitOf requests a permit for the second attempt, of a kind.
func (r *hedgedAttempt) requestPermitOf(ctx context.Context, kind retry.Kind) {
	a, c := r.attempter, r.attempter.call
	r.requesting, r.kind = true, kind
	request := c.permitRequest(0, a.handler.options.Name, a.handler.options.Zone)
	if kind == retry.Retry {
		request.Objective = 0 // without another attempt the request may get no answer at all
	}
	go func() {
		// If none is granted, the first attempt continues alone.
		permit, err := a.acquirePermit(ctx, kind, request)
		r.permits <- permitResult{permit: permit, err: err}
	}()
}

// startHedge sends the hedge, unless no permit was granted for it.
func (r *hedgedAttempt) startHedge(ctx context.Context, result permitResult) {
	if result.permit == nil && r.mayBeSilent {
		// The back end may not have taken the request at all. Unlike a hedge, which is refused unless a
		// permit is free at that moment, the second attempt then waits for one like a first attempt.
		delay := time.Duration(0)
		if r.kind == retry.Retry {
			delay = secondAttemptInterval
		}
		r.again = time.After(delay)
		return
	}
	if result.permit == nil {
		r.attempter.call.hedge += ", none: " + result.reason()
		return
	}
	sent, failure := r.attempter.prepare(result.permit)
	if failure != nil {
		return
	}
	r.attempter.handler.metrics.hedges.Inc(1)
	r.startExchange(ctx, sent)
}

// cancelOthers cancels the other exchange, so that its back end can stop working on it.
func (r *hedgedAttempt) cancelOthers(keep int) {
	for number, cancel := range r.cancels {
		if number != keep {
			cancel()
		}
	}
}

// discardLate releases, in the background, the permits and responses that arrive after the hedged
// attempt has ended.
func (r *hedgedAttempt) discardLate() {
	running, requesting := r.running, r.requesting
	if running == 0 && !requesting {
		return
	}
	go func() {
		for range running {
			if late := <-r.results; late.resp != nil {
				late.resp.discard()
			}
		}
		if !requesting {
			return
		}
		if result := <-r.permits; result.permit != nil {
			result.permit.done(routing.Canceled, 0, nil)
		}
	}()
}
