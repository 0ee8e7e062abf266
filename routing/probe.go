package routing

import (
	"slices"
	"time"
)

// HealthProbeTarget returns the back end that a health probe would tell most about: an ejected one
// whose trial is due, otherwise the one not heard from for longest, if that is longer than silence.
// A back end with a request limit is returned only if it can take a probe now. If the probe is
// made, RecordHealthProbeStart must be called next.
func (g *Group) HealthProbeTarget(now time.Time, silence time.Duration) (string, bool) {
	var quietest *BackendState
	for _, state := range g.states {
		if state.Draining || state.PausedUntil.After(now) || !g.withinRequestLimit(state, now, g.limitShare) {
			continue
		}
		if state.health.TrialDue(now) {
			return state.ID, true
		}
		if now.Sub(state.heardAt) > silence && (quietest == nil || state.heardAt.Before(quietest.heardAt)) {
			quietest = state
		}
	}
	if quietest == nil {
		return "", false
	}
	return quietest.ID, true
}

// RecordHealthProbeStart records that a back end is being probed, as probes count against its
// request limit.
func (g *Group) RecordHealthProbeStart(now time.Time, id string) {
	if state, known := g.byID[id]; known {
		state.limit.recordSend(now)
	}
}

// RecordHealthProbe records the result of a health probe; report is nil if the back end did not
// report its load.
func (g *Group) RecordHealthProbe(now time.Time, id string, healthy bool, report *Report) {
	state, known := g.byID[id]
	if !known {
		return
	}
	state.heardAt = now
	if !healthy {
		state.health.RecordTrial(now)
		state.health.RecordFailure(now)
		return
	}
	state.answeredAt = now
	if state.Ejected(now) {
		state.slowStartResponses = 0 // it may have failed because it was overloaded
		state.health.RecordSuccess()
	}
	if report != nil {
		g.RecordReport(state, *report, false, now)
	}
}

// RecordUnansweredProbe records that a health probe could not be sent to a back end. If the back end
// has answered a request since the probe was sent, the path of this daemon is at fault.
func (g *Group) RecordUnansweredProbe(now time.Time, id string, sent time.Time) {
	state, known := g.byID[id]
	if !known {
		return
	}
	if state.answeredAt.After(sent) {
		state.heardAt = now
		return
	}
	g.RecordHealthProbe(now, id, false, nil)
}

// probeCreditPerPick is how many load probes a request earns: probes go to the back ends that it
// could have been sent to, and not to those that would not be chosen.
const probeCreditPerPick = 3

// maxProbeCredit is the maximum number of load probes earned in advance.
const maxProbeCredit = 10

// earnProbes credits a request that a back end was chosen for.
func (g *Group) earnProbes(from origin) {
	g.probeCredit = min(g.probeCredit+probeCreditPerPick, maxProbeCredit)
	if !slices.Contains(g.origins, from) {
		g.origins = append(g.origins, from)
	}
}

// maxIntroductions is how often a back end is asked for its first report. A service may have back
// ends that do not report.
const maxIntroductions = 3

// MaxReportAge returns the learned maximum age of the report by which a back end is chosen, or
// fallback until it is known.
func (g *Group) MaxReportAge(fallback time.Duration) time.Duration {
	return g.reportAge.maxAge(fallback)
}

// LoadProbeTarget returns a back end that would get the next request of some origin, if its report
// is older than MaxReportAge, or than maxAge until that is learned; every other time it prefers a back
// end that has not reported yet, if there is any. The same back end is not returned again before
// interval has passed, nor before RecordLoadProbe or RecordLoadProbeFailure has been called for it.
func (g *Group) LoadProbeTarget(now time.Time, maxAge, interval time.Duration) (string, bool) {
	if g.probeCredit < 1 {
		return "", false
	}
	maxAge = g.MaxReportAge(maxAge)
	if state := g.dueArrivalProbe(now, interval); state != nil {
		g.cancelArrivalProbe(state)
		g.startLoadProbe(state, now)
		return state.ID, true
	}
	if g.introducing = !g.introducing; g.introducing {
		if state := g.introductionTarget(now, interval); state != nil {
			state.introductions++
			g.startLoadProbe(state, now)
			return state.ID, true
		}
	}
	if len(g.origins) > 0 {
		g.scanBestTargets(now)
	}
	for range g.origins {
		// The origins take turns.
		next := g.origins[0]
		g.origins = append(g.origins[1:], next)
		best := g.bestTargets.forOrigin(next)
		if best == nil || best.loadProbing || now.Sub(best.loadProbedAt) < interval || (!best.reportedAt.IsZero() && now.Sub(best.reportedAt) < maxAge) {
			continue
		}
		g.startLoadProbe(best, now)
		return best.ID, true
	}
	return "", false
}

// introductionTarget returns a back end that has not reported yet and may be asked, or nil.
func (g *Group) introductionTarget(now time.Time, interval time.Duration) *BackendState {
	for _, state := range g.workingSet.members(now) {
		if state.reportedAt.IsZero() && state.introductions < maxIntroductions && !state.Draining && !state.skipsLoadProbes(now) && !state.Ejected(now) &&
			!state.loadProbing && now.Sub(state.loadProbedAt) >= interval {
			return state
		}
	}
	return nil
}

// startLoadProbe records that a load probe of a back end starts.
func (g *Group) startLoadProbe(state *BackendState, now time.Time) {
	g.probeCredit--
	state.loadProbing, state.loadProbedAt = true, now
}

// RecordLoadProbeFailure records that a load probe of a back end brought no report.
func (g *Group) RecordLoadProbeFailure(id string) {
	if state, known := g.byID[id]; known {
		state.loadProbing = false
	}
}

// RecordLoadProbe records the report that a load probe brought.
func (g *Group) RecordLoadProbe(now time.Time, id string, report Report) {
	state, known := g.byID[id]
	if !known {
		return
	}
	state.loadProbing = false
	g.reportAge.probeCost = ewma(g.reportAge.probeCost, now.Sub(state.loadProbedAt))
	g.RecordReport(state, report, false, now)
}
