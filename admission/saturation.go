package admission

import (
	"time"

	"github.com/tuliphall/tuliphall/recent"
)

// saturationGap is how long the queue must be empty for a saturation period to end: under
// overload a short queue is empty now and then.
const saturationGap = 100 * time.Millisecond

// saturationPeriod is a period in which requests waited almost all the time, so that the
// rate of released permits is the capacity of the back ends. The zero value is no period.
type saturationPeriod struct {
	start, lastWaiting time.Time
	releases           int
}

// recordWaiting records that requests wait at the given time.
func (s *saturationPeriod) recordWaiting(now time.Time) {
	if s.ended(now) {
		s.start, s.releases = now, 0
	}
	s.lastWaiting = now
}

// recordRelease counts the release of a permit.
func (s *saturationPeriod) recordRelease(now time.Time) {
	if !s.ended(now) {
		s.releases++
	}
}

func (s *saturationPeriod) ended(now time.Time) bool {
	return now.Sub(s.lastWaiting) > saturationGap
}

// perSecond returns the permits released per second since the period began, and the length
// of the period as a fraction of recent.CountPeriod, at most 1. It returns 0, 0 until the first
// release: a single long request may hold all permits of a back end that has just started
// and that soon gets more.
func (s *saturationPeriod) perSecond(now time.Time) (rate, fraction float64) {
	elapsed := now.Sub(s.start).Seconds()
	if s.ended(now) || elapsed <= 0 || s.releases == 0 {
		return 0, 0
	}
	return float64(s.releases) / elapsed, min(elapsed/recent.CountPeriod.Seconds(), 1)
}
