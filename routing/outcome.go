package routing

import (
	"math"
	"time"
)

// Outcome says how a request at a back end ended.
type Outcome int

// The outcomes.
const (
	// Success: the back end answered.
	Success Outcome = iota
	// Failed: no answer, an error answer or a refusal. Its latency says
	// nothing about load.
	Failed
	// Canceled: the caller left or the deadline passed; nothing is learned.
	Canceled
)

// Finished notes the end of a request that Pick counted as sent.
func (g *Group) Finished(picked PickResult, now time.Time, outcome Outcome, latency time.Duration) {
	state := picked.Backend
	state.InFlight--
	if outcome == Canceled {
		state.gaveUp(now)
	} else {
		state.heard, state.quietSince = now, now
	}
	if state.InFlight == 0 {
		state.quietSince = time.Time{}
	}
	switch outcome {
	case Success:
		state.health.Success()
		state.warmth++
		state.observe(latency)
		g.knee.observe(picked.tookLast, latency, picked.slowdown)
	case Failed:
		state.health.Failure(now)
	case Canceled:
	}
}

// gaveUp notes that a request was given up on before its answer: by its caller, or
// because another back end answered first. How long the back end has been silent
// is all that this tells.
func (s *State) gaveUp(now time.Time) {
	if !s.slowdown.known() {
		return
	}
	stall := s.stall(now)
	if stall > s.slowdown.expected(now) {
		s.slowdown.last, s.slowdown.at = stall, now
	}
	if stall > stallLimit*s.slowdown.usual {
		s.health.Failure(now)
	}
}

func (s *State) observe(latency time.Duration) {
	if s.latency == 0 {
		s.latency = latency
	} else {
		s.latency += time.Duration(latencyWeight * float64(latency-s.latency))
	}
	s.root = math.Sqrt(s.latency.Seconds())
}
