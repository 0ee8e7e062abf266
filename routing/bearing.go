package routing

import "time"

// sender is as what a daemon sends requests of the service.
type sender struct {
	// choosers is how many daemons choose at the same time, each by itself.
	choosers int
	// ofLimits is what it may use of what limited back ends take.
	ofLimits Share
}

// soleSender gives out all places of the service.
var soleSender = sender{choosers: 1, ofLimits: Share{Fraction: 1}}

// sender returns as what the daemon sends the request.
func (r *Request) sender() sender {
	as := sender{choosers: max(r.IndependentDaemons, 1), ofLimits: r.LimitShare}
	if as.ofLimits.Fraction == 0 {
		as.ofLimits.Fraction = 1
	}
	return as
}

// ofWarmUps is what the sender may use of what cold back ends bear. Since when is reckoned only while some back
// end is limited.
func (s sender) ofWarmUps() Share {
	return Share{Fraction: 1 / float64(s.choosers), Since: s.ofLimits.Since}
}

// bears says whether the back end can take a request now without getting more than it bears while it
// is cold, or more than it says that it takes.
func (g *Group) bears(state *BackendState, now time.Time, as sender) bool {
	if state.spares(now) && !state.warmUp.pacing.due(now, state.WarmUp.PerSecond, as.ofWarmUps(), g.options.Random) {
		return false
	}
	return g.permits(state, now, as.ofLimits)
}

// spend notes something that is sent to the back end.
func (s *BackendState) spend(now time.Time) {
	if s.spares(now) {
		s.warmUp.pacing.sent(now)
	}
	s.limit.count(now)
}
