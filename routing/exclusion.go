package routing

import "time"

// Exclusion is a back end that a request must not reach, though others may: its daemon was asked by the back end for a
// pause, or knows that it is leaving before this one does.
type Exclusion struct {
	Backend string
	// Until is when it ends; zero: not while the request waits.
	Until time.Time
}

// inForce says whether the exclusion holds now.
func (e Exclusion) active(now time.Time) bool {
	return e.Until.IsZero() || e.Until.After(now)
}

// IsRestricted says whether some back ends are left out for the request that others may have.
func (r *Request) IsRestricted() bool {
	return len(r.Tried) > 0 || len(r.Excluded) > 0
}

// markExcluded marks the back ends that the request must not reach, until it is called for the next one.
func (g *Group) markExcluded(now time.Time, request *Request) {
	g.requestSequence++
	for _, exclusion := range request.Excluded {
		if state, known := g.byID[exclusion.Backend]; known && exclusion.active(now) {
			state.excludedInRequest = g.requestSequence
		}
	}
}

// excludes says whether the request that markExcluded was called for must not reach a back end.
func (g *Group) excludes(state *BackendState) bool {
	return state.excludedInRequest == g.requestSequence
}

// AllExcluded says whether the request must not reach any back end that takes requests, and from when on it may reach
// one; zero: that is not known.
func (g *Group) AllExcluded(now time.Time, request Request) (until time.Time, all bool) {
	if len(request.Excluded) == 0 {
		return time.Time{}, false
	}
	g.markExcluded(now, &request)
	for _, state := range g.states {
		if !g.unavailable(state, now) && !g.excludes(state) {
			return time.Time{}, false
		}
	}
	for _, exclusion := range request.Excluded {
		state, known := g.byID[exclusion.Backend]
		if !known || g.unavailable(state, now) || exclusion.Until.IsZero() {
			continue
		}
		if until.IsZero() || exclusion.Until.Before(until) {
			until = exclusion.Until
		}
	}
	return until, true
}

// SetPause notes until when this daemon must not probe a back end, which asked it for a pause.
func (g *Group) SetPause(id string, until time.Time) {
	if state, known := g.byID[id]; known {
		state.PausedUntil = until
	}
}

// spared says whether a back end gets no probes for fresher reports now.
func (s *BackendState) skipsLoadProbes(now time.Time) bool {
	return s.limit.Limited || s.PausedUntil.After(now)
}
