package routing

import (
	"math"
	"strconv"
	"time"
)

// Outcome is how a request at a back end ended.
type Outcome int

// Outcomes of a request.
const (
	// Success: the back end answered.
	Success Outcome = iota
	// ErrorResponse: the back end answered with an error. The latency says nothing about load.
	ErrorResponse
	// Canceled: the caller left or the deadline passed; nothing is learned from it.
	Canceled
	// ProcessExited: the process of the back end exited while it ran the request.
	ProcessExited
	// ConnectionRefused: no connection was opened, as nothing listens at the address.
	ConnectionRefused
	// Unserved: there was no response, an incomplete one, or one that says that the request was not
	// run.
	Unserved
	// PushedBack: the back end rejected the request and asked for a pause.
	PushedBack
	// NoContact: no connection was opened in time. Whether the back end or the path to it is at fault
	// is decided by AttributeNoContact.
	NoContact
	// Unreached: the daemon that sent the request could not reach the back end, although others can, or
	// could reach no back end at all; nothing is learned from it.
	Unreached
	// AnsweredAtCallersPace: the back end answered, but its caller determined how long that took. The given latency is
	// without that time.
	AnsweredAtCallersPace
	// CallerStalled: the request was ended because its caller sent no more of the body, or took no more of the response;
	// nothing is learned from it.
	CallerStalled
)

// String returns the name of the outcome for logs.
func (o Outcome) String() string {
	switch o {
	case Success:
		return "success"
	case ErrorResponse:
		return "error-response"
	case Canceled:
		return "canceled"
	case ProcessExited:
		return "process-exited"
	case ConnectionRefused:
		return "connection-refused"
	case Unserved:
		return "unserved"
	case PushedBack:
		return "pushed-back"
	case NoContact:
		return "no-contact"
	case Unreached:
		return "unreached"
	case AnsweredAtCallersPace:
		return "answered-at-callers-pace"
	case CallerStalled:
		return "caller-stalled"
	}
	return "outcome-" + strconv.Itoa(int(o))
}

// AttributeNoContact returns the outcome of a request that ended with NoContact: Unreached if the back
// end has answered any request since permitted, when its permit was granted, which shows that the path
// of one daemon is at fault, otherwise Unserved.
func (g *Group) AttributeNoContact(picked PickResult, permitted time.Time) Outcome {
	if picked.Backend.answeredAt.After(permitted) {
		return Unreached
	}
	return Unserved
}

// Done records the end of a request that Pick counted as sent.
func (g *Group) Done(picked PickResult, now time.Time, outcome Outcome, latency time.Duration) {
	state := picked.Backend
	state.advanceOccupancy(now)
	state.InFlight--
	g.workingSet.requestEnded()
	state.recordSilenceEnd(now, picked.silenceID, outcome)
	switch outcome {
	case Canceled:
		state.recordAbandoned(now)
	case Unreached:
		state.health.AbandonTrial()
	case CallerStalled:
		state.health.AbandonTrial()
		state.silentSince = now
	case Success, AnsweredAtCallersPace, ErrorResponse, PushedBack:
		state.answeredAt = now
		state.heardAt, state.silentSince = now, now
	default:
		state.heardAt, state.silentSince = now, now
	}
	if state.InFlight == 0 {
		state.silentSince = time.Time{}
	}
	switch outcome {
	case Success, AnsweredAtCallersPace:
		state.health.RecordSuccess()
		state.slowStartResponses++
		state.recordLatency(latency, picked.slowdownAtPick)
		g.reportAge.baseLatency = ewma(g.reportAge.baseLatency, state.baseLatency)
		if outcome == Success {
			g.learnConcurrency(picked)
		}
	case ErrorResponse, Unserved, NoContact:
		state.health.RecordFailure(now)
	case PushedBack:
		state.health.RecordFailure(now)
		state.slowStartResponses = 0 // restart with one request at a time, so that waiting requests do not all return at once
	case ProcessExited:
		// With ten back ends a service of which one exited every 300 ms, only 0.84 of the requests
		// were answered while exited back ends continued to be tried (TestHarmlessRequestIsNotQuarantined).
		state.health.RecordExit(now)
	case ConnectionRefused:
		state.health.RecordConnectionRefused(now)
	case Canceled, Unreached, CallerStalled:
	}
	g.recordReturnOutcome(now, state, outcome)
}

// recordAbandoned records a request that was given up before its response, by its caller or because
// another back end answered first. It shows only how long the back end has been silent.
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

// recordLatency records the latency of a response, and the slowdown expected when its request was
// sent.
func (s *BackendState) recordLatency(latency time.Duration, slowdown float64) {
	s.latency = ewma(s.latency, latency)
	s.baseLatency = ewma(s.baseLatency, time.Duration(float64(latency)/max(slowdown, 1)))
	s.latencyRoot = math.Sqrt(s.latency.Seconds())
}

// ewma moves an exponentially weighted average, 0 before the first value, towards a value.
func ewma(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(latencyWeight*float64(value-mean))
}
