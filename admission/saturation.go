package admission

import "time"

// saturationGap is for how long nothing may wait before a saturation is over: under
// overload a short queue is empty now and then.
const saturationGap = 100 * time.Millisecond

// saturation is a time in which requests waited almost always, so that as many places
// came free as the back ends can serve. The zero value is none.
type saturation struct {
	since, last time.Time
	served      int
}

// waiting notes that requests wait.
func (s *saturation) waiting(now time.Time) {
	if s.over(now) {
		s.since, s.served = now, 0
	}
	s.last = now
}

// place notes that a place came free.
func (s *saturation) place(now time.Time) {
	if !s.over(now) {
		s.served++
	}
}

func (s *saturation) over(now time.Time) bool {
	return now.Sub(s.last) > saturationGap
}

// perSecond returns how many places have come free a second since the saturation began,
// and which part of rateWindow that has lasted, 1 at the most. Until the first one comes
// free nothing is known: a single long request may hold all places that a back end which
// has just started is given, and soon it is given more.
func (s *saturation) perSecond(now time.Time) (rate, part float64) {
	lasted := now.Sub(s.since).Seconds()
	if s.over(now) || lasted <= 0 || s.served == 0 {
		return 0, 0
	}
	return float64(s.served) / lasted, min(lasted/rateWindow.Seconds(), 1)
}
