package dispatch

import (
	"slices"
	"time"

	"github.com/tuliphall/tuliphall/admission"
	"github.com/tuliphall/tuliphall/routing"
)

// maxUnansweredFraction is the part of the time until its deadline after which a repeatable request
// without an answer is sent elsewhere at the latest, once back ends of the service were silent: the
// other half is left for the second attempt.
const maxUnansweredFraction = 0.5

// minSilenceCheckDelay is the shortest time until a scheduled check for silence: the detector counts
// shorter silences as none.
const minSilenceCheckDelay = time.Millisecond

// SilenceChange is what was newly detected at a back end that does not answer when it is full.
type SilenceChange struct {
	Backend string
	// Unanswered is the number of requests that newly count as not taken by the back end, and Oldest
	// the longest time for which one of them has no answer.
	Unanswered int
	Oldest     time.Duration
	// Before and Bound are the numbers of requests in flight to which the back end was and is held;
	// 0: it was or is not held.
	Before, Bound int
}

// OnSilence sets the callback for what is detected at back ends that do not answer when they are full.
// It must be called before the first request; the callback must not block.
func (d *Dispatcher) OnSilence(callback func(change SilenceChange)) {
	d.onSilence = callback
}

// watchSilence prepares a permit for the case that its back end is full and does not answer. A
// repeatable request is sent elsewhere when that is detected or, once back ends of the service were
// silent, when it takes longer than usual.
func (c *Core) watchSilence(now time.Time, permit *Permit, request Request, stats *latencyStats) {
	detector := permit.Backend.Silence()
	if detector == nil {
		return
	}
	permit.NoteUsual(stats.slowest)
	if !request.Routing.Repeatable || !detector.Observed() {
		return
	}
	permit.Followed, permit.MayBeSilent = true, true
	c.watched.add(permit)
	delay := detector.HedgeDelay(stats.slowest)
	if delay == 0 {
		return
	}
	delay = min(delay, time.Duration(maxUnansweredFraction*float64(request.Deadline.Sub(now))))
	if permit.HedgeAfter == 0 || delay < permit.HedgeAfter {
		permit.HedgeAfter = max(delay, time.Millisecond)
	}
}

// urgentWaitFraction is the part of the time for which a request may usefully wait after which it may be
// the trial of a back end that was silent when full: before that a slot that is known may become free, and
// much later the trial leaves too little time for another attempt.
const urgentWaitFraction = 0.25

// isUrgent reports whether a waiting request may be such a trial.
func isUrgent(now, arrivedAt time.Time, ticket *admission.Ticket) bool {
	until := ticket.Expiry
	if !ticket.UsefulUntil.IsZero() && ticket.UsefulUntil.Before(until) {
		until = ticket.UsefulUntil
	}
	return now.Sub(arrivedAt) >= time.Duration(urgentWaitFraction*float64(until.Sub(arrivedAt)))
}

// setDisturbed records that a second attempt is worthwhile at once, and returns the callback to be called
// for that; nil: there is none, or it has been called already. The caller must hold the dispatcher's mutex.
func (p *Permit) setDisturbed() (callback func()) {
	if p.disturbed {
		return nil
	}
	p.disturbed = true
	return p.onDisturbed
}

// watchedPermits are permits of repeatable requests that are notified when it is detected that their back
// end has not taken them. Unlike followedPermits it allocates nothing per permit.
type watchedPermits []*Permit

func (w *watchedPermits) add(permit *Permit) {
	*w = append(*w, permit)
	permit.watchedNumber = len(*w)
}

// remove removes a permit if it is watched.
func (w *watchedPermits) remove(permit *Permit) {
	if permit.watchedNumber == 0 {
		return
	}
	last := len(*w) - 1
	moved := (*w)[last]
	(*w)[permit.watchedNumber-1], moved.watchedNumber = moved, permit.watchedNumber
	(*w)[last], permit.watchedNumber = nil, 0
	*w = (*w)[:last]
}

// silenceFinding is what a check of a back end has found.
type silenceFinding struct {
	change    SilenceChange
	disturbed []*Permit // whose requests are worth sending elsewhere at once
	nextCheck time.Time // zero: no check is due
}

// checkSilence checks whether requests at a back end count as silent from now on. before is its bound
// before the change that the check follows.
func (c *Core) checkSilence(now time.Time, state *routing.BackendState, before int) silenceFinding {
	detector := state.Silence()
	if detector == nil {
		return silenceFinding{}
	}
	var finding silenceFinding
	ids := detector.Check(now)
	finding.change = SilenceChange{Backend: state.ID, Unanswered: len(ids), Before: before, Bound: detector.Bound()}
	if len(ids) > 0 {
		for index := len(c.watched) - 1; index >= 0; index-- {
			if permit := c.watched[index]; permit.Backend == state && slices.Contains(ids, permit.SilenceID()) {
				c.watched.remove(permit)
				finding.disturbed = append(finding.disturbed, permit)
				finding.change.Oldest = max(finding.change.Oldest, now.Sub(permit.GrantedAt))
			}
		}
	}
	finding.nextCheck = detector.NextCheck()
	return finding
}

// silenceBound returns the bound of a back end before a change; 0: none.
func silenceBound(state *routing.BackendState) int {
	if detector := state.Silence(); detector != nil {
		return detector.Bound()
	}
	return 0
}

// reportSilence notifies the requests that are worth sending elsewhere and calls the callback. The
// caller must not hold the mutex.
func (d *Dispatcher) reportSilence(state *routing.BackendState, finding silenceFinding) {
	for _, permit := range finding.disturbed {
		d.mutex.Lock()
		callback := permit.setDisturbed()
		d.mutex.Unlock()
		if callback != nil {
			callback()
		}
	}
	if change := finding.change; change.Unanswered > 0 || change.Before != change.Bound {
		d.onSilence(change)
	}
	if !finding.nextCheck.IsZero() {
		d.scheduleSilenceCheck(state, finding.nextCheck)
	}
}

// scheduleSilenceCheck schedules a check of a back end unless one is scheduled that is not later.
func (d *Dispatcher) scheduleSilenceCheck(state *routing.BackendState, at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if scheduled, known := d.silenceChecks[state]; known && !scheduled.After(at) {
		return
	}
	if d.silenceChecks == nil {
		d.silenceChecks = make(map[*routing.BackendState]time.Time)
	}
	d.silenceChecks[state] = at
	time.AfterFunc(max(time.Until(at), minSilenceCheckDelay), func() { d.runSilenceCheck(state, at) })
}

// runSilenceCheck runs a scheduled check.
func (d *Dispatcher) runSilenceCheck(state *routing.BackendState, at time.Time) {
	var finding silenceFinding
	d.change(func() {
		if d.silenceChecks[state] == at {
			delete(d.silenceChecks, state)
		}
		finding = d.core.checkSilence(time.Now(), state, silenceBound(state))
	})
	d.reportSilence(state, finding)
}
