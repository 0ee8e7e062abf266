package explain

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/tuliphall/tuliphall/fairshare"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
)

// Cause is why a request ended as it did.
type Cause struct {
	// Kind is a short text without names, equal for requests with the same cause.
	Kind string
	// Subject is the name of the daemon, back end, service or tenant concerned.
	Subject string
	// Description describes the cause to operators.
	Description string
	// Assumption is what a daemon assumed or did not know at that time, which may have been
	// wrong; empty: nothing is known of that.
	Assumption string
}

// kindBackendFailure is the kind of a response with which a back end reports its own failure.
const kindBackendFailure = "back end's own failure"

// outcomeIndex returns the index of the first outcome line, which is that of the daemon that the request reached first;
// -1: there is none.
func outcomeIndex(lines []Line) int {
	return slices.IndexFunc(lines, Line.isOutcome)
}

// determineCause determines the cause from the ordered lines of a request.
func (l *Log) determineCause(lines []Line) Cause {
	end := outcomeIndex(lines)
	if end < 0 {
		return l.causeWithoutOutcome(lines[len(lines)-1])
	}
	outcome := lines[end]
	switch outcome.Message {
	case messageAnswered:
		if outcome.Status == http.StatusGatewayTimeout {
			return l.slowBackendCause(outcome, lines[:end])
		}
		cause := answeredCause(outcome)
		cause.Description += earlyResponse(lines)
		cause.Assumption = l.newerRevisionElsewhere(outcome.Daemon, outcome.Time)
		if cause.Assumption == "" {
			cause.Assumption = relayedBecause(outcome)
		}
		return cause
	case messageBrokenOff:
		return l.brokenOffCause(outcome)
	}
	switch code := resultcode.Code(outcome.Code); code {
	case resultcode.NoService:
		return l.unknownRouteCause(outcome)
	case resultcode.NotConfigured:
		return l.notConfiguredCause(outcome)
	case resultcode.QueueFull, resultcode.WaitExpired, resultcode.DeadlineTooShort:
		return l.overloadedCause(outcome)
	case resultcode.NoBackend:
		return l.noBackendCause(outcome)
	case resultcode.BackendsPaused:
		return Cause{
			Kind: "back ends asked for a pause", Subject: outcome.Service,
			Description: fmt.Sprintf("Every back end of %s had turned requests of %s away and asked it for a pause (%s); the request has not run, and may come back after %s. See the lines 'back end asks for a pause' of %s.",
				outcome.Service, outcome.Daemon, outcome.Cause, outcome.RetryAfter, outcome.Daemon),
		}
	case resultcode.BackendsUnreachable:
		return Cause{
			Kind: "no daemon reaches the back ends", Subject: outcome.Daemon,
			Description: fmt.Sprintf("%s reached no back end, nor did the other daemons that it asked (%s); the request has not run, and may come back after %s. See the lines 'no back end reached' and 'back ends reached again'.",
				outcome.Daemon, outcome.Cause, outcome.RetryAfter),
		}
	case resultcode.CrashingRequest:
		return Cause{
			Kind: "back ends ended under the request", Subject: outcome.Service,
			Description: fmt.Sprintf("Back ends ended while they ran this request or its repeats, or an operator holds it back (%s); it has not run. See the lines 'connection broke' with its fingerprint, and tuliphall quarantined.", outcome.Cause),
		}
	case resultcode.Unauthorized:
		return Cause{
			Kind: "key not valid", Subject: outcome.Daemon,
			Description: fmt.Sprintf("The request had no valid key (%s) by revision %d of the configuration; it has not run.", outcome.Cause, outcome.Revision),
		}
	case resultcode.RateExceeded:
		return Cause{
			Kind: "tenant over its rate", Subject: outcome.Tenant,
			Description: fmt.Sprintf("The tenant asked for more than its rate and burst (%s), as %s counted; the request has not run. See tuliphall tenants.", outcome.Cause, outcome.RefusedBy),
		}
	case resultcode.ConnectFailed, resultcode.ConnectionBroken, resultcode.BackendRefused, resultcode.AnswerUnverifiable:
		return l.brokenBackendCause(outcome)
	case resultcode.DeadlineExceeded, resultcode.CallerGoneAfterSend:
		return l.slowBackendCause(outcome, lines[:end])
	case resultcode.CallerGone:
		if outcome.Sent > 0 {
			return l.notConnectedCause(outcome)
		}
		return Cause{Kind: "caller left while it waited", Subject: outcome.Service, Description: fmt.Sprintf("The caller left after %s, before a place at a back end was free.", outcome.Total)}
	default:
		return Cause{Kind: code.Info().Name, Subject: outcome.Daemon, Description: code.Info().Title + " " + outcome.Cause}
	}
}

// causeWithoutOutcome handles a request without an outcome line.
func (l *Log) causeWithoutOutcome(last Line) Cause {
	if started, ok := l.nextLine(last.Daemon, last.Time, messageStarted); ok {
		return Cause{
			Kind: "daemon ended", Subject: last.Daemon,
			Description: fmt.Sprintf("%s ended with the request in flight, without a planned stop, and started again at %s. Lines of its last 100 ms may be lost.", last.Daemon, formatTime(started.Time)),
		}
	}
	return Cause{Kind: "no outcome logged", Subject: last.Daemon, Description: "No line tells how it ended: " + last.Daemon + " had not finished it when its log ends, or ended for good."}
}

func answeredCause(outcome Line) Cause {
	if outcome.Status >= http.StatusInternalServerError {
		return Cause{
			Kind: kindBackendFailure, Subject: outcome.Backend,
			Description: fmt.Sprintf("Back end %s ran it and answered with status %d of its own.", outcome.Backend, outcome.Status),
		}
	}
	return Cause{
		Kind: "answered", Subject: outcome.Backend,
		Description: fmt.Sprintf("Back end %s answered after %s; %s were spent before and after that.", outcome.Backend, outcome.Latency, Duration(time.Duration(outcome.Total)-time.Duration(outcome.Latency))),
	}
}

// relayedBecause describes why a request was sent through another daemon; empty: it was not.
func relayedBecause(outcome Line) string {
	switch {
	case outcome.Via == "":
		return ""
	case outcome.CutOff > 0:
		return fmt.Sprintf("It was sent through %s, as %s had reached no back end for %s.", outcome.Via, outcome.Daemon, outcome.CutOff)
	}
	return fmt.Sprintf("It was sent through %s, as %s had not reached %s itself.", outcome.Via, outcome.Daemon, outcome.Backend)
}

func (l *Log) brokenOffCause(outcome Line) Cause {
	if outcome.Side == "caller" {
		return Cause{Kind: "caller left during the answer", Subject: outcome.Service, Description: "The caller's connection ended while the answer was passed on: " + outcome.Cause + "."}
	}
	return Cause{
		Kind: "back end broke its answer off", Subject: string(outcome.Backends),
		Description: fmt.Sprintf("Back end %s began an answer and did not finish it (%s), so the caller's was broken off too.%s", outcome.Backends, outcome.Cause, l.otherRequestsAt(outcome)),
	}
}

func (l *Log) unknownRouteCause(outcome Line) Cause {
	cause := Cause{Kind: "route unknown", Subject: outcome.Daemon}
	own, _ := l.lastLine(outcome.Daemon, outcome.Time, messageInForce)
	cause.Assumption = l.newerRevisionElsewhere(outcome.Daemon, outcome.Time)
	if cause.Assumption == "" {
		cause.Description = fmt.Sprintf("No route matches (%s). %s had revision %d, as all others.", outcome.Cause, outcome.Daemon, own.Revision)
		return cause
	}
	cause.Kind = "route not known yet"
	cause.Description = fmt.Sprintf("No route matched (%s) in revision %d, which %s had in force since %s.", outcome.Cause, own.Revision, outcome.Daemon, formatTime(own.Time))
	return cause
}

func (l *Log) notConfiguredCause(outcome Line) Cause {
	cause := Cause{Kind: "daemon had no configuration yet", Subject: outcome.Daemon, Description: outcome.Daemon + " had no configuration yet."}
	if started, ok := l.lastLine(outcome.Daemon, outcome.Time, messageStarted); ok {
		cause.Description = fmt.Sprintf("%s had started %s before and had no configuration yet.", outcome.Daemon, Duration(outcome.Time.Sub(started.Time)))
	}
	if lost, ok := l.lastLine(outcome.Daemon, outcome.Time, messageSourceLost); ok {
		cause.Assumption = "The store did not answer: " + lost.Error
	}
	return cause
}

func (l *Log) overloadedCause(outcome Line) Cause {
	load := l.loadAround(outcome.Service, outcome.Time)
	cause := Cause{
		Kind: "service overloaded", Subject: outcome.Service,
		Description: fmt.Sprintf("Every place of %s was taken (%s, %s); it was refused without being run, to come back after %s. Within %s, %d requests of the service were refused and %d answered.",
			outcome.Service, outcome.Name, outcome.Cause, outcome.RetryAfter, correlationWindow, load.refused, load.answered),
	}
	switch {
	case strings.Contains(outcome.Cause, fairshare.PhraseOver):
		cause.Kind, cause.Subject = "tenant over its share", outcome.Tenant
	case strings.Contains(outcome.Cause, routing.PhraseEvacuated):
		cause.Kind = "service overloaded while a zone is evacuated"
	case strings.Contains(outcome.Cause, routing.PhraseReturning):
		cause.Kind = "service overloaded while back ends return"
	case strings.Contains(outcome.Cause, routing.PhraseCold):
		cause.Kind = "service overloaded while back ends are cold"
	case strings.Contains(outcome.Cause, routing.PhraseLimited):
		cause.Kind = "service overloaded while back ends ask for fewer requests"
	}
	refuser := outcome.RefusedBy
	if refuser == "" {
		refuser = outcome.Daemon
	}
	for _, chosen := range l.linesAround(refuser, outcome.Time, messageDispatcher) {
		if chosen.Service == outcome.Service {
			cause.Kind = "service overloaded as its dispatcher changed"
			cause.Assumption = fmt.Sprintf("%s gave out the places; it had taken %s for the dispatcher at %s, and %q before.", refuser, chosen.Dispatcher, formatTime(chosen.Time), chosen.Previous)
		}
	}
	if ejected := l.linesAround(refuser, outcome.Time, messageEjected); len(ejected) > 0 && cause.Assumption == "" {
		cause.Assumption = fmt.Sprintf("%s had left out %d back ends for failing around then, %s first.", refuser, len(ejected), ejected[0].Backend)
	}
	return cause
}

func (l *Log) noBackendCause(outcome Line) Cause {
	cause := Cause{Kind: "no back end takes requests", Subject: outcome.Service, Description: fmt.Sprintf("No back end of %s takes requests, as %s knew: all leave, or none is listed.", outcome.Service, outcome.Daemon)}
	if strings.Contains(outcome.Cause, routing.PhraseEvacuated) {
		cause.Kind = "zones evacuated"
		cause.Description = fmt.Sprintf("No back end of %s takes requests, as %s knew: %s.", outcome.Service, outcome.Daemon, outcome.Cause)
	}
	if own, ok := l.lastLine(outcome.Daemon, outcome.Time, messageInForce); ok {
		cause.Assumption = fmt.Sprintf("%s had revision %d and %s back ends in all since %s.", outcome.Daemon, own.Revision, own.Backends, formatTime(own.Time))
	}
	return cause
}

func (l *Log) brokenBackendCause(outcome Line) Cause {
	last := lastBackend(outcome)
	kinds := map[resultcode.Code]string{
		resultcode.ConnectFailed: "back end not reached", resultcode.ConnectionBroken: "back end broke the connection",
		resultcode.BackendRefused: "back ends refused", resultcode.AnswerUnverifiable: "back end's answer not whole or not its own",
	}
	return Cause{
		Kind: kinds[resultcode.Code(outcome.Code)], Subject: last,
		Description: fmt.Sprintf("%s (%s). It was sent %d times, to %s; %s.%s", resultcode.Code(outcome.Code).Info().Title, outcome.Cause, outcome.Sent, outcome.Backends, describeRun(outcome), l.otherRequestsAt(outcome)),
	}
}

// notConnectedCause handles a request whose caller left while a connection was being opened.
func (l *Log) notConnectedCause(outcome Line) Cause {
	last := lastBackend(outcome)
	return Cause{
		Kind: "back end not reached", Subject: last,
		Description: fmt.Sprintf("No connection to back end %s was opened before the caller left after %s; it has not run.%s", last, outcome.Total, l.otherRequestsAt(outcome)),
	}
}

// lastBackend returns the last back end that a request was sent to, or the service if there is none.
func lastBackend(outcome Line) string {
	backends := outcome.backends()
	if len(backends) == 0 {
		return outcome.Service
	}
	return backends[len(backends)-1]
}

func describeRun(outcome Line) string {
	if outcome.Run == string(resultcode.NotRun) {
		return "it has not run"
	}
	return "whether it ran is not known"
}

// otherRequestsAt describes the outcomes of other requests at the last back end within correlationWindow.
func (l *Log) otherRequestsAt(outcome Line) string {
	answered, failed := 0, 0
	last := lastBackend(outcome)
	for _, line := range l.byBackend[last] {
		switch {
		case line.Request == outcome.Request || distance(line.Time, outcome.Time) > correlationWindow:
		case line.Message == messageAnswered:
			answered++
		default:
			failed++
		}
	}
	return fmt.Sprintf(" Within %s, %s answered %d others and failed %d.", correlationWindow, last, answered, failed)
}

// slowBackendCause handles a request that ran out of time while back ends ran it. before are the
// lines before its outcome.
func (l *Log) slowBackendCause(outcome Line, before []Line) Cause {
	last := lastBackend(outcome)
	sent := outcome.Time.Add(-time.Duration(outcome.Total))
	cause := Cause{Kind: "back end too slow", Subject: last}
	for _, line := range before {
		if line.Message == messageChosen && line.Backend == last {
			sent = line.Time
			cause.Assumption = fmt.Sprintf("%s chose %s among %d by a report %s old, with %s left.", line.Dispatcher, line.Backend, line.Candidates, line.ReportAge, line.Remaining)
		}
	}
	description, silent := l.describeResponses(last, sent, outcome.Time)
	if silent {
		cause.Kind = "back end silent"
	}
	ended := "time ran out"
	if outcome.Message == messageAnswered {
		ended = fmt.Sprintf("%s gave up with status %d of its own", last, outcome.Status)
	}
	if resultcode.Code(outcome.Code) == resultcode.CallerGoneAfterSend {
		ended = "the caller left"
	}
	cause.Description = fmt.Sprintf("No answer came from %s before %s after %s; %s.", outcome.Backends, ended, outcome.Total, description)
	return l.silentFullCause(cause, last, sent, outcome.Time)
}

// describeResponses describes how a back end responded to other requests while a request was
// there, and reports whether it was silent: it responded to none in the second half of that time.
func (l *Log) describeResponses(backend string, sent, end time.Time) (description string, silent bool) {
	var last, slowest Line
	for _, line := range l.byBackend[backend] {
		if line.Message != messageAnswered || line.Time.After(end) {
			continue
		}
		if line.Time.After(last.Time) {
			last = line
		}
		if line.Time.After(sent) && line.Latency > slowest.Latency {
			slowest = line
		}
	}
	if last.Time.IsZero() {
		return backend + " answered nobody before", true
	}
	if last.Time.Before(sent.Add(end.Sub(sent) / 2)) {
		return fmt.Sprintf("%s answered nobody after %s", backend, formatTime(last.Time)), true
	}
	return fmt.Sprintf("%s answered others meanwhile, the slowest after %s with a slowdown of %g", backend, slowest.Latency, slowest.Slowdown), false
}

// formatTime formats a time of day.
func formatTime(at time.Time) string {
	return at.UTC().Format("15:04:05.000")
}
