package simulation

import (
	"time"

	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

// directoryDelay is how long it takes until the dispatcher learns from the list of back ends that
// one has started again: a watch and a broadcast.
const directoryDelay = 300 * time.Millisecond

// exit makes the processes of back ends exit. The first one starts again after the duration of the
// event, the others one after the other, event.Interval apart. All are cold then, and slower by
// event.Factor while they are.
func (r *replay) exit(affected []*worker, event PatternEvent) {
	for number, target := range affected {
		target.exit()
		r.after(time.Duration(event.Duration)+time.Duration(number)*time.Duration(event.Interval), func() {
			target.exited = false
			target.run++
			target.returnedAt = r.clock.now
			target.firstSecondArrivals = 0
			r.makeCold([]*worker{target})
			r.slowDown([]*worker{target}, PatternEvent{Duration: r.pattern.Backends.WarmUp, Factor: event.Factor})
			r.after(directoryDelay, func() {
				r.updateBackends()
				r.serveWaiting()
			})
		})
	}
}

// exitZone returns the back ends of the first zone.
func (r *replay) exitZone() []*worker {
	var affected []*worker
	for _, target := range r.workers {
		if target.zone == 0 {
			affected = append(affected, target)
		}
	}
	return affected
}

// exit ends the process of the back end: requests that it holds fail, and it refuses connections.
func (w *worker) exit() {
	w.exited = true
	held := append(w.running, w.queue...)
	w.updateRate(func() { w.running, w.queue = nil, nil })
	for _, lost := range held {
		lost.generation++
		if lost.onExit != nil {
			lost.onExit()
		}
	}
}

// handleExit processes an attempt whose connection was refused or whose back end exited while it
// ran the request.
func (r *replay) handleExit(t *try, sent *attempt, outcome routing.Outcome) {
	if sent.finished {
		return
	}
	sent.finished = true
	r.core.Done(r.time(), sent.permit, outcome, 0)
	r.serveWaiting()
	if t.finished || t.inProgress() {
		return
	}
	failed := retry.Attempt{
		Code: resultcode.ConnectionBroken, CallerRetry: t.refusals > 0, Number: t.attemptCount - t.unsentCount, Unsent: t.unsentCount, MaxAttempts: t.class.MaxAttempts,
		Repeatable: t.class.Repeatable, Rewindable: true, Remaining: t.deadline.Sub(r.time()), UntriedBackends: len(r.workers) - len(t.tried),
	}
	var verdict retry.Verdict
	if outcome == routing.ConnectionRefused {
		t.unsentCount++
		failed.Code, failed.Number, failed.Unsent = resultcode.ConnectFailed, failed.Number-1, t.unsentCount
		verdict = retry.Evaluate(failed)
	} else {
		verdict = retry.Decide(failed, &r.budget)
	}
	switch {
	case verdict == retry.Allowed:
		r.offer(t)
	case outcome == routing.ConnectionRefused || t.class.Repeatable:
		r.refuseWithRetryAfter(t, dispatch.RetryAfterRefusal(sent.permit.GrantedAt.Sub(sent.permit.ArrivedAt)))
	default:
		t.finished = true
		r.outcome.recordGiveUp(t.caller) // it may have run
	}
}
