package routing

import "time"

// ProbeTarget returns the back end whose state is most worth asking for: an
// ejected one whose trial is due, else the one unheard of for longest, if that is
// longer than silence.
func (g *Group) ProbeTarget(now time.Time, silence time.Duration) (string, bool) {
	var quietest *State
	for _, state := range g.states {
		if state.Draining {
			continue
		}
		if state.health.TrialDue(now) {
			return state.ID, true
		}
		if now.Sub(state.heard) > silence && (quietest == nil || state.heard.Before(quietest.heard)) {
			quietest = state
		}
	}
	if quietest == nil {
		return "", false
	}
	return quietest.ID, true
}

// Probed takes in the outcome of a probe; report is nil where the back end did
// not report its load.
func (g *Group) Probed(now time.Time, id string, well bool, report *Report) {
	state, known := g.byID[id]
	if !known {
		return
	}
	state.heard = now
	if !well {
		state.health.Trial(now)
		state.health.Failure(now)
		return
	}
	if state.Ejected(now) {
		state.warmth = 0
		state.health.Success()
	}
	if report != nil {
		g.Report(state, *report, false, now)
	}
}
