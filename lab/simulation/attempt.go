package simulation

import (
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

// send sends a try to the back end of its permit.
func (r *replay) send(t *try, permit *dispatch.Permit) {
	sent := &attempt{permit: permit, worker: r.byID[permit.Backend.ID]}
	t.attemptCount++
	t.tried = append(t.tried, sent.worker.id)
	t.backendAttempts = append(t.backendAttempts, sent)
	r.outcome.recordZones(t, sent.worker)
	r.after(2*r.pattern.messageDelay()+r.pattern.Zones.between(t.zone, sent.worker.zone), func() { r.arriveAtBackend(t, sent) })
	if permit.HedgeAfter > 0 && t.class.Repeatable && t.attemptCount == 1 {
		r.after(r.pattern.messageDelay()+permit.HedgeAfter, func() { r.sendHedge(t) })
	}
}

// arriveAtBackend makes the back end accept or reject the request, or fail without running it.
func (r *replay) arriveAtBackend(t *try, sent *attempt) {
	if sent.finished {
		return
	}
	target := sent.worker
	target.recordArrival()
	switch {
	case target.exited:
		r.after(2*r.pattern.messageDelay(), func() { r.handleExit(t, sent, routing.ConnectionRefused) })
	case target.unavailable:
		r.after(2*r.pattern.messageDelay(), func() { r.handleUnserved(t, sent) })
	case target.rejectsNext():
		report := &routing.Report{InFlight: target.inFlight(), Slowdown: target.slowdown()}
		r.after(2*r.pattern.messageDelay(), func() {
			if !sent.finished {
				r.core.RecordReport(r.time(), sent.permit.Backend, *report)
			}
			r.handleUnserved(t, sent)
		})
	default:
		sent.job = target.arrive(t.work, func() { r.handleCompletion(t, sent) })
		sent.job.onExit = func() {
			r.after(2*r.pattern.messageDelay(), func() { r.handleExit(t, sent, routing.ProcessExited) })
		}
	}
}

// handleCompletion processes the response of an attempt.
func (r *replay) handleCompletion(t *try, sent *attempt) {
	report, speed, reportedAt := sent.worker.report(), sent.worker.speed, r.clock.now
	r.after(2*r.pattern.messageDelay()+r.pattern.Zones.between(t.zone, sent.worker.zone), func() {
		if sent.finished {
			return
		}
		r.known.record(sent.worker, speed, reportedAt)
		sent.finished = true
		latency := r.time().Sub(sent.permit.GrantedAt)
		r.core.RecordReport(r.time(), sent.permit.Backend, report)
		r.core.Done(r.time(), sent.permit, routing.Success, latency)
		r.finishTry(t)
		r.serveWaiting()
	})
}

// finishTry records the first response of a try and cancels the other attempt.
func (r *replay) finishTry(t *try) {
	if t.finished {
		return
	}
	t.finished = true
	for _, other := range t.backendAttempts {
		r.cancel(other)
	}
	r.after(2*r.pattern.messageDelay(), func() { r.outcome.recordAnswer(t.caller, r.time()) })
}

func (r *replay) cancel(other *attempt) {
	if other.finished {
		return
	}
	other.finished = true
	if other.job != nil {
		other.worker.cancel(other.job)
	}
	r.core.Done(r.time(), other.permit, routing.Canceled, 0)
}

// handleUnserved processes an attempt that the back end did not run, and retries at another
// one if the retry policy allows it.
func (r *replay) handleUnserved(t *try, sent *attempt) {
	if sent.finished {
		return
	}
	sent.finished = true
	r.core.Done(r.time(), sent.permit, routing.Unserved, 0)
	r.serveWaiting()
	if t.finished || t.inProgress() {
		return
	}
	verdict := retry.Decide(retry.Attempt{
		Code: resultcode.BackendRefused, CallerRetry: t.refusals > 0, Number: t.attemptCount, MaxAttempts: t.class.MaxAttempts, Repeatable: t.class.Repeatable, Rewindable: true,
		Remaining: t.deadline.Sub(r.time()), UntriedBackends: len(r.workers) - len(t.tried),
	}, &r.budget)
	if verdict == retry.Allowed {
		r.offer(t)
		return
	}
	r.refuseWithRetryAfter(t, dispatch.RetryAfterRefusal(sent.permit.GrantedAt.Sub(sent.permit.ArrivedAt)))
}

// inProgress reports whether an attempt of the try is unfinished.
func (t *try) inProgress() bool {
	for _, sent := range t.backendAttempts {
		if !sent.finished {
			return true
		}
	}
	return false
}

// sendHedge asks for a permit for a hedge.
func (r *replay) sendHedge(t *try) {
	if t.finished || t.attemptCount > 1 || t.class.MaxAttempts < 2 || !r.budget.Spend(retry.Hedge, t.refusals > 0) {
		return
	}
	decision := r.core.Offer(r.time(), r.dispatchRequest(t, true), t)
	if decision.Permit == nil {
		r.budget.Refund()
		return
	}
	r.outcome.forClass(t.class).Hedges++
	r.send(t, decision.Permit)
}
