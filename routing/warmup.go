package routing

import "time"

// WarmUp is the request rate that a back end can take after its start.
type WarmUp struct {
	Duration  time.Duration // from its start; 0: it is never cold
	PerSecond float64       // requests per second that it can take from all daemons; 0: no limit
}

// warmUp limits the requests of this daemon to a cold back end. The zero value is warm.
type warmUp struct {
	coldUntil time.Time // end of the cold phase
	pacing    pacing
}

// Cold reports whether the back end has not run for long and may not be able to take its full load
// yet.
func (s *BackendState) Cold(now time.Time) bool {
	return now.Before(s.warmUp.coldUntil)
}

// setCold records that the back end may be cold from now on, for the given time at most.
func (s *BackendState) setCold(now time.Time, left time.Duration) {
	s.slowStartResponses = 0
	s.warmUp.coldUntil = now.Add(left)
}

// setWarm records that the back end is known to have run for a while.
func (s *BackendState) setWarm() {
	s.warmUp = warmUp{}
	s.slowStartResponses = s.Slots * maxWindowPerSlot
}

// limitedByWarmUp reports whether the back end is cold and has a limited request rate.
func (s *BackendState) limitedByWarmUp(now time.Time) bool {
	return s.WarmUp.PerSecond > 0 && s.Cold(now)
}
