package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/tuliphall/tuliphall/routing"
)

// Kinds of cause of a response later than its objective. The first that applies is used: causes that another decision
// could have avoided precede those that no decision could.
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

// Thresholds for causes of late responses.
const (
	// waitFraction is the fraction of the objective from which a wait, or time at the daemon, is the cause.
	waitFraction = 0.25
	// staleReportAge is the age above which a load report is stale: disturbances of back ends last about as long.
	staleReportAge = 100 * time.Millisecond
)

// RequestOutcome is the outcome of one request.
type RequestOutcome struct {
	Line  Line
	Cause Cause
	// Late: the response came after its objective.
	Late bool
}

// Succeeded reports whether a back end responded to the request without a failure.
func (o RequestOutcome) Succeeded() bool {
	return o.Line.Message == messageAnswered && o.Cause.Kind != kindBackendFailure
}

// Outcomes returns the outcomes of all requests, including those without an outcome line. objective returns the
// objective for requests of a class; 0: there is none.
func (l *Log) Outcomes(objective func(class string) time.Duration) []RequestOutcome {
	outcomes := make([]RequestOutcome, 0, len(l.requests))
	for _, request := range l.requests {
		lines := l.linesOf(request)
		outcome := RequestOutcome{Line: lines[len(lines)-1], Cause: l.determineCause(lines)}
		if end := outcomeIndex(lines); end >= 0 {
			outcome.Line = lines[end]
		}
		objectiveTime := objective(outcome.Line.Class)
		if outcome.Succeeded() && objectiveTime > 0 && time.Duration(outcome.Line.Total) > objectiveTime {
			outcome.Late, outcome.Cause = true, l.lateCause(lines, outcome.Line, objectiveTime)
		}
		outcomes = append(outcomes, outcome)
	}
	return outcomes
}

// lateCause returns why a response came after its objective.
func (l *Log) lateCause(lines []Line, outcome Line, objective time.Duration) Cause {
	cause := Cause{Kind: l.lateKind(lines, outcome, objective), Subject: outcome.Backend}
	cause.Description = fmt.Sprintf("Back end %s answered after %s; %s in all, %s were allowed.", outcome.Backend, outcome.Latency, outcome.Total, objective)
	return cause
}

func (l *Log) lateKind(lines []Line, outcome Line, objective time.Duration) string {
	threshold := Duration(waitFraction * float64(objective))
	chosen := decisionFor(lines, outcome)
	switch {
	case l.wasAtSilentFull(lines, outcome):
		return LateSilentFull
	case slices.ContainsFunc(lines, func(line Line) bool { return line.Message == messageAttempt }):
		return LateAfterFailure
	case chosen.Waited >= threshold:
		return LateQueued
	case strings.Contains(outcome.Hedge, "none:"), strings.Contains(outcome.Hedge, "no attempt left"):
		return LateHedgeMissing
	case outcome.Hedge != "" && outcome.Sent > 1:
		return LateHedgeTooLate
	case chosen.Message != "" && chosen.ReportAge < 0:
		return LateWithoutReport
	case time.Duration(chosen.ReportAge) > staleReportAge:
		return LateStaleReport
	case outcome.InFlight > 1:
		return LateConcurrentRequest
	case outcome.Slowdown >= routing.DisturbedFactor:
		return LateDisturbed
	case time.Duration(outcome.Latency) >= objective:
		return LateBackendSlow
	case outcome.Total-outcome.Latency >= threshold:
		return LateAtDaemon
	}
	return LateUnexplained
}

// decisionFor returns the line of the decision that chose the back end that answered.
func decisionFor(lines []Line, outcome Line) Line {
	for _, line := range lines {
		if line.Message == messageChosen && line.Backend == outcome.Backend {
			return line
		}
	}
	return Line{}
}
