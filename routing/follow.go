package routing

import (
	"slices"
	"time"
)

// arrival is how long after a place was given its request has reached the back end: the
// longest way to the daemon that sends it and on. A probe that is sent then finds the back
// end as the request found it.
const arrivalDelay = 3 * time.Millisecond

// ScheduleArrivalProbe lets a back end be asked how it is as soon as a request has reached it. A cold one
// is spared that, a limited one, and one of a service whose back ends tell nothing of it.
func (g *Group) ScheduleArrivalProbe(now time.Time, state *BackendState) {
	if state.Cold(now) || state.limit.Limited || !state.slowdown.known() {
		return
	}
	g.cancelArrivalProbe(state)
	g.arrivalProbes = append(g.arrivalProbes, state)
	state.arrivalProbeSince = now
}

// arrived returns a back end that a request has just reached and that is to be asked, or
// nil.
func (g *Group) dueArrivalProbe(now time.Time, interval time.Duration) *BackendState {
	for _, state := range g.arrivalProbes {
		if now.Sub(state.arrivalProbeSince) < arrivalDelay {
			return nil // later ones came later
		}
		if !state.loadProbing && !state.Draining && !state.skipsLoadProbes(now) && !state.Ejected(now) && now.Sub(state.loadProbedAt) >= interval {
			return state
		}
	}
	return nil
}

// unfollow notes that a back end has told how it is since the last request reached it, or
// need not any more.
func (g *Group) cancelArrivalProbe(state *BackendState) {
	state.arrivalProbeSince = time.Time{}
	if index := slices.Index(g.arrivalProbes, state); index >= 0 {
		g.arrivalProbes = slices.Delete(g.arrivalProbes, index, index+1)
	}
}

// Disturbed says whether the last report of a back end tells that what begins there takes
// much longer than usually.
func (s *BackendState) Disturbed() bool {
	return s.slowdown.reports > 0 && s.slowdown.last > DisturbedFactor*s.slowdown.baseline()
}
