package routing

import "time"

// WarmUp is what a back end bears that has just started.
type WarmUp struct {
	Lasts     time.Duration // from its start; 0: it is never cold
	PerSecond float64       // requests it bears in a second, from all daemons; 0: no bound
}

// warmUp bounds the requests that a cold back end gets from this daemon. The zero value
// is warm.
type warmUp struct {
	until time.Time // it counts as cold until then
	next  time.Time // it gets no request before
	// alone is the same while several daemons choose, each by itself; zero: not drawn yet.
	alone time.Time
}

// Cold says whether the back end has to be spared, as it has not run for long.
func (s *State) Cold(now time.Time) bool {
	return now.Before(s.warmUp.until)
}

// cool notes that the back end may have turned cold now, and how long that lasts at most.
func (s *State) cool(now time.Time, left time.Duration) {
	s.warmth = 0
	s.warmUp.until = now.Add(left)
}

// warmedUp notes that the back end is known to have run for a while.
func (s *State) warmedUp() {
	s.warmUp = warmUp{}
	s.warmth = s.Slots * windowFactor
}

// spacing is the time between two requests to a cold back end, of each of so many daemons
// that choose by themselves: they come evenly spaced, because several that came together
// would have to be worked on together while the back end is slowest.
func (s *State) spacing(choosers int) time.Duration {
	return time.Duration(float64(max(choosers, 1)) * float64(time.Second) / s.WarmUp.PerSecond)
}

// spared notes a request at the back end.
func (s *State) spared(now time.Time, choosers int) {
	if s.Cold(now) && s.WarmUp.PerSecond > 0 {
		s.warmUp.next, s.warmUp.alone = now.Add(s.spacing(1)), now.Add(s.spacing(choosers))
	}
}

// bears says whether the back end can take a request now without getting more than it
// bears while it is cold. Of several daemons that choose by themselves, each sends its part
// of that, at times of its own: 20 daemons that lost their dispatcher sent a cold back end
// 15 requests in a second where each decided by chance, and 3 so
// (TestColdWorkersWithoutDispatcher).
func (g *Group) bears(state *State, now time.Time, choosers int) bool {
	if !state.Cold(now) || state.WarmUp.PerSecond == 0 {
		return true
	}
	if now.Before(state.warmUp.next) {
		return false
	}
	if choosers <= 1 {
		return true
	}
	if state.warmUp.alone.IsZero() {
		state.warmUp.alone = now.Add(time.Duration(g.options.Random.Float64() * float64(state.spacing(choosers))))
	}
	return !now.Before(state.warmUp.alone)
}
