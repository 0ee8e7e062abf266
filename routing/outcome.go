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
	// ErrorResponse: an error answer. Its latency says nothing about load.
	ErrorResponse
	// Canceled: the caller left or the deadline passed; nothing is learned.
	Canceled
	// ProcessExited: the back end's process ended while it ran the request.
	ProcessExited
	// ConnectionRefused: no connection was opened, as nothing listens there.
	ConnectionRefused
	// Unserved: no answer, part of one, or that the request was not run.
	Unserved
	// PushedBack: the back end turned the request away and asked for a pause.
	PushedBack
)

// Done notes the end of a request that Pick counted as sent.
func (g *Group) Done(picked PickResult, now time.Time, outcome Outcome, latency time.Duration) {
	state := picked.Backend
	state.advanceOccupancy(now)
	state.InFlight--
	g.workingSet.requestEnded()
	if outcome == Canceled {
		state.recordAbandoned(now)
	} else {
		state.heardAt, state.silentSince = now, now
	}
	if state.InFlight == 0 {
		state.silentSince = time.Time{}
	}
	switch outcome {
	case Success:
		state.health.RecordSuccess()
		state.slowStartAnswers++
		state.recordLatency(latency, picked.slowdownAtPick)
		g.reportAge.baseLatency = ewma(g.reportAge.baseLatency, state.baseLatency)
		g.learnConcurrency(picked)
	case ErrorResponse, Unserved:
		state.health.RecordFailure(now)
	case PushedBack:
		state.health.RecordFailure(now)
		state.slowStartAnswers = 0 // it begins with one request at a time, so that not all come back together
	case ProcessExited:
		// Where one back end after another ended, ten a service and one each 300 ms,
		// 0.84 of the requests were answered while those that had ended were tried on
		// (TestBystandersAreServed).
		state.health.RecordExit(now)
	case ConnectionRefused:
		state.health.RecordConnectionRefused(now)
	case Canceled:
	}
}

// gaveUp notes that a request was given up on before its answer: by its caller, or
// because another back end answered first. How long the back end has been silent
// is all that this tells.
func (s *BackendState) recordAbandoned(now time.Time) {
	if !s.slowdown.known() {
		return
	}
	stall := s.stallSlowdown(now)
	if stall > s.slowdown.expected(now) {
		s.slowdown.last, s.slowdown.at = stall, now
	}
	if s.latency > 0 && s.silence(now) > maxSilenceLatencies*s.latency {
		s.health.RecordFailure(now)
	}
}

// observe takes in the latency of an answer, and the slowdown that was expected when
// its request was sent.
func (s *BackendState) recordLatency(latency time.Duration, slowdown float64) {
	s.latency = ewma(s.latency, latency)
	s.baseLatency = ewma(s.baseLatency, time.Duration(float64(latency)/max(slowdown, 1)))
	s.latencyRoot = math.Sqrt(s.latency.Seconds())
}

// averaged moves an average, 0 before the first value, towards a value.
func ewma(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(latencyWeight*float64(value-mean))
}
