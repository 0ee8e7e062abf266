package routing

import (
	"slices"
	"time"
)

// arrivalDelay is the time after a permit is granted within which its request reaches the back end:
// the longest path to the daemon that sends it and on to the back end. A probe sent then finds the
// back end in the state in which the request found it.
const arrivalDelay = 3 * time.Millisecond

// ScheduleArrivalProbe schedules a load probe of a back end for when a request has reached it. Cold
// back ends, those with a request limit and those of services that do not report slowdown are not
// probed.
func (g *Group) ScheduleArrivalProbe(now time.Time, state *BackendState) {
	if state.Cold(now) || state.limit.Limited || !state.slowdown.known() {
		return
	}
	g.cancelArrivalProbe(state)
	g.arrivalProbes = append(g.arrivalProbes, state)
	state.arrivalProbeSince = now
}

// dueArrivalProbe returns a back end that a request has just reached and whose load probe is due,
// or nil.
func (g *Group) dueArrivalProbe(now time.Time, interval time.Duration) *BackendState {
	for _, state := range g.arrivalProbes {
		if now.Sub(state.arrivalProbeSince) < arrivalDelay {
			return nil // the list is ordered by time
		}
		if !state.loadProbing && !state.Draining && !state.skipsLoadProbes(now) && !state.Ejected(now) && now.Sub(state.loadProbedAt) >= interval {
			return state
		}
	}
	return nil
}

// cancelArrivalProbe removes the scheduled probe of a back end, as it has reported since the last
// request reached it or no report is needed any more.
func (g *Group) cancelArrivalProbe(state *BackendState) {
	state.arrivalProbeSince = time.Time{}
	if index := slices.Index(g.arrivalProbes, state); index >= 0 {
		g.arrivalProbes = slices.Delete(g.arrivalProbes, index, index+1)
	}
}

// Disturbed reports whether, according to the last report, a request that begins at the back end
// now takes much longer than usual.
func (s *BackendState) Disturbed() bool {
	return s.slowdown.reports > 0 && s.slowdown.last > DisturbedFactor*s.slowdown.baseline()
}
