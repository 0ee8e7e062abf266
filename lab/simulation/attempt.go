package simulation

import (
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

// send sends a try to the back end of its place.
func (r *replay) send(one *try, place *dispatch.Permit) {
	sent := &attempt{place: place, worker: r.byID[place.Backend.ID]}
	one.attempts++
	one.tried = append(one.tried, sent.worker.id)
	one.running = append(one.running, sent)
	r.after(2*r.pattern.wire(), func() { r.arrive(one, sent) })
	if place.HedgeAfter > 0 && one.class.Repeatable && one.attempts == 1 {
		r.after(r.pattern.wire()+place.HedgeAfter, func() { r.hedge(one) })
	}
}

// arrive lets the back end take the request, refuse it, or say nothing.
func (r *replay) arrive(one *try, sent *attempt) {
	if sent.over {
		return
	}
	target := sent.worker
	target.strain()
	switch {
	case target.gone:
		r.after(2*r.pattern.wire(), func() { r.failed(one, sent) })
	case target.refuses():
		report := &routing.Report{InFlight: target.inFlight(), Slowdown: target.slowdown()}
		r.after(2*r.pattern.wire(), func() {
			if !sent.over {
				r.core.RecordReport(r.time(), sent.place.Backend, *report)
			}
			r.failed(one, sent)
		})
	default:
		sent.job = target.arrive(one.work, func() { r.worked(one, sent) })
	}
}

// worked passes an answer on.
func (r *replay) worked(one *try, sent *attempt) {
	report := routing.Report{InFlight: sent.worker.inFlight(), Slowdown: sent.worker.slowdown()}
	r.after(2*r.pattern.wire(), func() {
		if sent.over {
			return
		}
		sent.over = true
		latency := r.time().Sub(sent.place.GrantedAt)
		r.core.RecordReport(r.time(), sent.place.Backend, report)
		r.core.Done(r.time(), sent.place, routing.Success, latency)
		r.answered(one)
		r.serve()
	})
}

// answered counts the first answer and breaks off the other attempt.
func (r *replay) answered(one *try) {
	if one.over {
		return
	}
	one.over = true
	for _, other := range one.running {
		r.cancel(other)
	}
	r.after(2*r.pattern.wire(), func() { r.outcome.answered(one.caller, r.time()) })
}

func (r *replay) cancel(other *attempt) {
	if other.over {
		return
	}
	other.over = true
	if other.job != nil {
		other.worker.cancel(other.job)
	}
	r.core.Done(r.time(), other.place, routing.Canceled, 0)
}

// failed takes in that a back end did not run the request, and tries another one.
func (r *replay) failed(one *try, sent *attempt) {
	if sent.over {
		return
	}
	sent.over = true
	r.core.Done(r.time(), sent.place, routing.Unserved, 0)
	r.serve()
	if one.over || one.busy() {
		return
	}
	verdict := retry.Decide(retry.Attempt{
		Code: resultcode.BackendRefused, CallerRetry: one.refused > 0, Number: one.attempts, MaxAttempts: one.class.MaxAttempts, Repeatable: one.class.Repeatable, Rewindable: true,
		Remaining: one.deadline.Sub(r.time()), UntriedBackends: len(r.workers) - len(one.tried),
	}, &r.budget)
	if verdict == retry.Allowed {
		r.offer(one)
		return
	}
	r.refuseFor(one, dispatch.RetryAfterRefusal(sent.place.GrantedAt.Sub(sent.place.ArrivedAt)))
}

// busy says whether the try is still at some back end.
func (t *try) busy() bool {
	for _, one := range t.running {
		if !one.over {
			return true
		}
	}
	return false
}

// hedge asks for a place for a second attempt.
func (r *replay) hedge(one *try) {
	if one.over || one.attempts > 1 || one.class.MaxAttempts < 2 || !r.budget.Spend(retry.Hedge, one.refused > 0) {
		return
	}
	decision := r.core.Offer(r.time(), r.request(one, true), one)
	if decision.Permit == nil {
		r.budget.Refund()
		return
	}
	r.outcome.of(one.class).Hedges++
	r.send(one, decision.Permit)
}
