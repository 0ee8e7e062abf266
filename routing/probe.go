package routing

import (
	"slices"
	"time"
)

// HealthProbeTarget returns the back end whose state is most worth asking for: an
// ejected one whose trial is due, else the one unheard of for longest, if that is
// longer than silence. A limited one is returned only when it takes a probe now; Probing is called
// next where it is made.
func (g *Group) HealthProbeTarget(now time.Time, silence time.Duration) (string, bool) {
	var quietest *BackendState
	for _, state := range g.states {
		if state.Draining || state.PausedUntil.After(now) || !g.permits(state, now, g.limitShare) {
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

// RecordHealthProbeStart notes that a back end is being probed: what it says that it takes counts probes, too.
func (g *Group) RecordHealthProbeStart(now time.Time, id string) {
	if state, known := g.byID[id]; known {
		state.limit.recordSend(now)
	}
}

// RecordHealthProbe takes in the outcome of a probe; report is nil where the back end did
// not report its load.
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
	if state.Ejected(now) {
		state.slowStartAnswers = 0 // it may have failed because it got too much at once
		state.health.RecordSuccess()
	}
	if report != nil {
		g.RecordReport(state, *report, false, now)
	}
}

// probesPerPick is how many probes a request earns: the back ends that it could have
// gone to are asked, and not those that nobody will choose.
const probeCreditPerPick = 3

// probeCredit is how many probes can be earned in advance.
const maxProbeCredit = 10

// earnProbes notes a request that a back end was chosen for.
func (g *Group) earnProbes(from origin) {
	g.probeCredit = min(g.probeCredit+probeCreditPerPick, maxProbeCredit)
	if !slices.Contains(g.origins, from) {
		g.origins = append(g.origins, from)
	}
}

// introductions is how often a back end is asked for its first report. A service
// may have back ends that tell none.
const maxIntroductions = 3

// MaxReportAge returns how old the report may be that a back end is chosen by, as learned;
// otherwise as long as that is not known.
func (g *Group) MaxReportAge(fallback time.Duration) time.Duration {
	return g.reportAge.maxAge(fallback)
}

// LoadProbeTarget returns a back end that would get the next request of some origin, if its
// report is older than is worth it, or than freshness as long as that is not known; every other time one that has told nothing yet, if
// there is any. It is not returned again before interval has passed, nor before
// Refreshed or Unprobed was called for it.
func (g *Group) LoadProbeTarget(now time.Time, fallback, interval time.Duration) (string, bool) {
	if g.probeCredit < 1 {
		return "", false
	}
	fallback = g.MaxReportAge(fallback)
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
		// They take turns.
		next := g.origins[0]
		g.origins = append(g.origins[1:], next)
		best := g.bestTargets.forOrigin(next)
		if best == nil || best.loadProbing || now.Sub(best.loadProbedAt) < interval || (!best.reportedAt.IsZero() && now.Sub(best.reportedAt) < fallback) {
			continue
		}
		g.startLoadProbe(best, now)
		return best.ID, true
	}
	return "", false
}

// unintroduced returns a back end that has told nothing yet and may be asked, or nil.
func (g *Group) introductionTarget(now time.Time, interval time.Duration) *BackendState {
	for _, state := range g.workingSet.members(now) {
		if state.reportedAt.IsZero() && state.introductions < maxIntroductions && !state.Draining && !state.skipsLoadProbes(now) && !state.Ejected(now) &&
			!state.loadProbing && now.Sub(state.loadProbedAt) >= interval {
			return state
		}
	}
	return nil
}

// probe notes that a back end is being probed.
func (g *Group) startLoadProbe(state *BackendState, now time.Time) {
	g.probeCredit--
	state.loadProbing, state.loadProbedAt = true, now
}

// RecordLoadProbeFailure notes that a probe of a back end told nothing.
func (g *Group) RecordLoadProbeFailure(id string) {
	if state, known := g.byID[id]; known {
		state.loadProbing = false
	}
}

// RecordLoadProbe takes in the report that a probe for a fresher one brought.
func (g *Group) RecordLoadProbe(now time.Time, id string, report Report) {
	state, known := g.byID[id]
	if !known {
		return
	}
	state.loadProbing = false
	g.reportAge.probeCost = ewma(g.reportAge.probeCost, now.Sub(state.loadProbedAt))
	g.RecordReport(state, report, false, now)
}
