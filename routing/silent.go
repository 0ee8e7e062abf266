package routing

import (
	"time"

	"github.com/tuliphall/tuliphall/silentfull"
)

// updateSilenceDetection gives the back end the state to detect that it does not answer when it is
// full, if that is declared, or removes it.
func (g *Group) updateSilenceDetection(state *BackendState) {
	switch {
	case !state.DetectSilentFull:
		state.silentFull, state.lastSilenceID = nil, 0
	case state.silentFull == nil:
		state.silentFull = silentfull.New(&g.silentService)
	}
}

// Silence returns the state with which it is detected that the back end does not answer when it is
// full; nil: that is not to be detected.
func (s *BackendState) Silence() *silentfull.Detector {
	return s.silentFull
}

// mayBeFull reports whether a request must not be sent to the back end, as it may have no free slot and
// not answer.
func (g *Group) mayBeFull(state *BackendState, now time.Time, request *Request) bool {
	if state.silentFull == nil {
		return false
	}
	// A second attempt is no trial: the request may be lost if both are not answered.
	trial := request.Repeatable && len(request.Tried) == 0
	return !state.silentFull.Admits(now, trial, g.lastResort)
}

// scanForTrial scans again for an urgent request that no back end takes, permitting it to be the trial of
// one that was silent when full.
func (g *Group) scanForTrial(now time.Time, request Request) {
	if !request.Urgent || !g.silentService.Observed {
		return
	}
	g.lastResort = true
	g.scan(now, request)
	g.lastResort = false
}

// recordSilenceEnd records the end of a request at the back end.
func (s *BackendState) recordSilenceEnd(now time.Time, id uint64, outcome Outcome) {
	if s.silentFull == nil {
		return
	}
	end := silentfull.Failed
	switch outcome {
	case Success, AnsweredAtCallersPace, ErrorResponse, PushedBack:
		end = silentfull.Answered
	case Canceled, CallerStalled:
		end = silentfull.GivenUp
	case ProcessExited, ConnectionRefused:
		end = silentfull.Exited
	case Unserved, NoContact, Unreached:
	}
	s.silentFull.Ended(now, id, end)
}

// SilenceID returns the number of the request at the back end's silence detection.
func (p PickResult) SilenceID() uint64 {
	return p.silenceID
}

// NoteUsual sets the usual time of the request's class for the silence detection; 0: unknown.
func (p PickResult) NoteUsual(usual time.Duration) {
	if p.Backend.silentFull != nil {
		p.Backend.silentFull.SetUsual(p.silenceID, usual)
	}
}

// recordSilenceSlowdown records a reported slowdown for the silence detection.
func (s *BackendState) recordSilenceSlowdown(factor float64) {
	if s.silentFull != nil {
		s.silentFull.RecordSlowdown(factor)
	}
}
