package routing

import "time"

// Exclusion is a back end that a request must not be sent to, although requests of other daemons
// may: the back end asked the request's daemon for a pause, or that daemon knows that the back end
// is leaving before this one does.
type Exclusion struct {
	Backend string
	// Until is the end of the exclusion; zero: it does not end while the request waits.
	Until time.Time
}

// active reports whether the exclusion applies now.
func (e Exclusion) active(now time.Time) bool {
	return e.Until.IsZero() || e.Until.After(now)
}

// IsRestricted reports whether the request must not be sent to some back ends that other requests
// may be sent to.
func (r *Request) IsRestricted() bool {
	return len(r.Tried) > 0 || len(r.Excluded) > 0
}

// markExcluded marks the back ends that the request must not be sent to, until the next call.
func (g *Group) markExcluded(now time.Time, request *Request) {
	g.requestSequence++
	for _, exclusion := range request.Excluded {
		if state, known := g.byID[exclusion.Backend]; known && exclusion.active(now) {
			state.excludedInRequest = g.requestSequence
		}
	}
}

// excludes reports whether the request of the last markExcluded must not be sent to a back end.
func (g *Group) excludes(state *BackendState) bool {
	return state.excludedInRequest == g.requestSequence
}

// AllExcluded reports whether the request is excluded from all back ends that take requests, and
// the earliest end of an exclusion; zero: the end is not known.
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

// SetPause sets until when this daemon must not probe a back end that asked it for a pause.
func (g *Group) SetPause(id string, until time.Time) {
	if state, known := g.byID[id]; known {
		state.PausedUntil = until
	}
}

// skipsLoadProbes reports whether the back end gets no load probes now.
func (s *BackendState) skipsLoadProbes(now time.Time) bool {
	return s.limit.Limited || s.PausedUntil.After(now)
}
