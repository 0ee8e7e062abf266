package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tuliphall/tuliphall/routing"
)

// Kinds of cause of an answer that came after its objective. The first that fits counts: what could have been
// decided otherwise goes before what happened to the request.
const (
	LateAfterFailure      = "late: sent again after a failure"
	LateQueued            = "late: waited for a place"
	LateHedgeMissing      = "late: second attempt due and not made"
	LateHedgeTooLate      = "late: second attempt came too late"
	LateWithoutReport     = "late: back end chosen without a report"
	LateStaleReport       = "late: back end chosen on an old report"
	LateConcurrentRequest = "late: back end worked on another request beside it"
	LateDisturbed         = "late: back end disturbed"
	LateBackendSlow       = "late: back end slow after the start"
	LateAtDaemon          = "late: time was spent at the daemon"
	LateUnexplained       = "unnamed"
)

// Bounds of what counts as the cause of a late answer.
const (
	// waitedPart is from which part of the objective on a wait, or time at the daemon, is the cause.
	waitedPart = 0.25
	// oldReport is the age from which on a report is about as old as disturbances of back ends last.
	oldReport = 100 * time.Millisecond
)

// RequestOutcome is how one request ended.
type RequestOutcome struct {
	Line  Line
	Cause Cause
	// Late: it was answered after its objective.
	Late bool
}

// Succeeded says whether the request got an answer that a back end had made well.
func (e RequestOutcome) Succeeded() bool {
	return e.Line.Message == messageAnswered && e.Cause.Kind != kindOwnFailure
}

// Outcomes returns how all requests ended, those without an outcome's line included. objective returns the
// objective of the requests of a class; 0: they have none.
func (l *Log) Outcomes(objective func(class string) time.Duration) []RequestOutcome {
	endings := make([]RequestOutcome, 0, len(l.requests))
	for _, request := range l.requests {
		story := l.story(request)
		ending := RequestOutcome{Line: story[len(story)-1], Cause: l.causeOf(story)}
		if end := outcomeOf(story); end >= 0 {
			ending.Line = story[end]
		}
		within := objective(ending.Line.Class)
		if ending.Succeeded() && within > 0 && time.Duration(ending.Line.Total) > within {
			ending.Late, ending.Cause = true, lateCause(story, ending.Line, within)
		}
		endings = append(endings, ending)
	}
	return endings
}

// lateCause names why an answer came after its objective.
func lateCause(story []Line, outcome Line, objective time.Duration) Cause {
	cause := Cause{Kind: lateKind(story, outcome, objective), Subject: outcome.Backend}
	cause.Description = fmt.Sprintf("Back end %s answered after %s; %s in all, %s were allowed.", outcome.Backend, outcome.Latency, outcome.Total, objective)
	return cause
}

func lateKind(story []Line, outcome Line, objective time.Duration) string {
	patience := Duration(waitedPart * float64(objective))
	chosen := chosenFor(story, outcome)
	switch {
	case slices.ContainsFunc(story, func(line Line) bool { return line.Message == messageAttempt }):
		return LateAfterFailure
	case chosen.Waited >= patience:
		return LateQueued
	case strings.Contains(outcome.Hedge, "none:"), strings.Contains(outcome.Hedge, "no attempt left"):
		return LateHedgeMissing
	case outcome.Hedge != "" && outcome.Sent > 1:
		return LateHedgeTooLate
	case chosen.Message != "" && chosen.ReportAge < 0:
		return LateWithoutReport
	case time.Duration(chosen.ReportAge) > oldReport:
		return LateStaleReport
	case outcome.InFlight > 1:
		return LateConcurrentRequest
	case outcome.Slowdown >= routing.DisturbedFactor:
		return LateDisturbed
	case time.Duration(outcome.Latency) >= objective:
		return LateBackendSlow
	case outcome.Total-outcome.Latency >= patience:
		return LateAtDaemon
	}
	return LateUnexplained
}

// chosenFor returns the line of the choice of the back end that answered.
func chosenFor(story []Line, outcome Line) Line {
	for _, line := range story {
		if line.Message == messageChosen && line.Backend == outcome.Backend {
			return line
		}
	}
	return Line{}
}
