package routing

import "time"

// WarmUp is what a back end bears that has just started.
type WarmUp struct {
	Duration  time.Duration // from its start; 0: it is never cold
	PerSecond float64       // requests it bears in a second, from all daemons; 0: no bound
}

// warmUp bounds the requests that a cold back end gets from this daemon. The zero value
// is warm.
type warmUp struct {
	coldUntil time.Time // it counts as cold until then
	pacing    pacing
}

// Cold says whether the back end has to be spared, as it has not run for long.
func (s *BackendState) Cold(now time.Time) bool {
	return now.Before(s.warmUp.coldUntil)
}

// cool notes that the back end may have turned cold now, and how long that lasts at most.
func (s *BackendState) setCold(now time.Time, left time.Duration) {
	s.slowStartAnswers = 0
	s.warmUp.coldUntil = now.Add(left)
}

// warmedUp notes that the back end is known to have run for a while.
func (s *BackendState) setWarm() {
	s.warmUp = warmUp{}
	s.slowStartAnswers = s.Slots * maxWindowPerSlot
}

// spares says whether the back end is cold, and bears only so much.
func (s *BackendState) limitedByWarmUp(now time.Time) bool {
	return s.WarmUp.PerSecond > 0 && s.Cold(now)
}
