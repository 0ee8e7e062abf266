package routing

import "time"

// sender is as what a daemon sends requests of the service.
type dispatchRole struct {
	// choosers is how many daemons choose at the same time, each by itself.
	independentDaemons int
	// ofLimits is what it may use of what limited back ends take.
	limitShare Share
}

// soleSender gives out all places of the service.
var soleDispatcher = dispatchRole{independentDaemons: 1, limitShare: Share{Fraction: 1}}

// sender returns as what the daemon sends the request.
func (r *Request) dispatchRole() dispatchRole {
	role := dispatchRole{independentDaemons: max(r.IndependentDaemons, 1), limitShare: r.LimitShare}
	if role.limitShare.Fraction == 0 {
		role.limitShare.Fraction = 1
	}
	return role
}

// ofWarmUps is what the sender may use of what cold back ends bear. Since when is reckoned only while some back
// end is limited.
func (s dispatchRole) warmUpShare() Share {
	return Share{Fraction: 1 / float64(s.independentDaemons), Since: s.limitShare.Since}
}

// bears says whether the back end can take a request now without getting more than it bears while it
// is cold, or more than it says that it takes.
func (g *Group) withinRateLimits(state *BackendState, now time.Time, role dispatchRole) bool {
	if state.limitedByWarmUp(now) && !state.warmUp.pacing.due(now, state.WarmUp.PerSecond, role.warmUpShare(), g.options.Random) {
		return false
	}
	return g.permits(state, now, role.limitShare)
}

// spend notes something that is sent to the back end.
func (s *BackendState) chargeRateLimits(now time.Time) {
	if s.limitedByWarmUp(now) {
		s.warmUp.pacing.recordSend(now)
	}
	s.limit.recordSend(now)
}
