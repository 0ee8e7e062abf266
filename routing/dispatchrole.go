package routing

import "time"

// dispatchRole is the share of the back ends' request rates that a daemon uses.
type dispatchRole struct {
	// independentDaemons is how many daemons pick at the same time, each independently.
	independentDaemons int
	// limitShare is the daemon's share of the request limits of back ends.
	limitShare Share
}

// soleDispatcher hands out all permits of the service.
var soleDispatcher = dispatchRole{independentDaemons: 1, limitShare: Share{Fraction: 1}}

// dispatchRole returns the role in which the daemon sends the request.
func (r *Request) dispatchRole() dispatchRole {
	role := dispatchRole{independentDaemons: max(r.IndependentDaemons, 1), limitShare: r.LimitShare}
	if role.limitShare.Fraction == 0 {
		role.limitShare.Fraction = 1
	}
	return role
}

// warmUpShare is the daemon's share of the request rate of cold back ends. Its Since is maintained
// only while some back end has a request limit.
func (r dispatchRole) warmUpShare() Share {
	return Share{Fraction: 1 / float64(r.independentDaemons), Since: r.limitShare.Since}
}

// withinRateLimits reports whether the back end can be sent a request now without exceeding its
// rate while cold or the request limit that it announced.
func (g *Group) withinRateLimits(state *BackendState, now time.Time, role dispatchRole) bool {
	if state.limitedByWarmUp(now) && !state.warmUp.pacing.due(now, state.WarmUp.PerSecond, role.warmUpShare(), g.options.Random) {
		return false
	}
	return g.withinRequestLimit(state, now, role.limitShare)
}

// chargeRateLimits counts a request or probe sent to the back end.
func (s *BackendState) chargeRateLimits(now time.Time) {
	if s.limitedByWarmUp(now) {
		s.warmUp.pacing.recordSend(now)
	}
	s.limit.recordSend(now)
}
