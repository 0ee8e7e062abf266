package explain

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
)

// Cause is why a request ended as it did.
type Cause struct {
	// Kind groups requests with the same cause: short, without names.
	Kind string
	// Subject names the daemon, back end or service concerned.
	Subject string
	// Description says it for a person.
	Description string
	// Assumption is what was believed wrongly, or not known; empty: nothing.
	Assumption string
}

// kindOwnFailure is an answer of a back end that says that it failed.
const kindOwnFailure = "back end's own failure"

// outcomeOf returns which line of a request says how it ended, that of the daemon which it reached first; -1:
// none does.
func outcomeOf(story []Line) int {
	return slices.IndexFunc(story, Line.isOutcome)
}

// causeOf finds the cause from a request's lines, in order.
func (l *Log) causeOf(story []Line) Cause {
	end := outcomeOf(story)
	if end < 0 {
		return l.unfinished(story[len(story)-1])
	}
	outcome := story[end]
	switch outcome.Message {
	case messageAnswered:
		if outcome.Status == http.StatusGatewayTimeout {
			return l.slowBackend(outcome, story[:end])
		}
		cause := answered(outcome)
		cause.Assumption = l.newerElsewhere(outcome.Daemon, outcome.Time)
		return cause
	case messageBrokenOff:
		return l.brokenOff(outcome)
	}
	switch code := resultcode.Code(outcome.Code); code {
	case resultcode.NoService:
		return l.unknownRoute(outcome)
	case resultcode.NotConfigured:
		return l.notConfigured(outcome)
	case resultcode.QueueFull, resultcode.WaitExpired, resultcode.DeadlineTooShort:
		return l.overloaded(outcome)
	case resultcode.NoBackend:
		return l.noBackend(outcome)
	case resultcode.BackendsPaused:
		return Cause{
			Kind: "back ends asked for a pause", Subject: outcome.Service,
			Description: fmt.Sprintf("Every back end of %s had turned requests of %s away and asked it for a pause (%s); the request has not run, and may come back after %s. See the lines 'back end asks for a pause' of %s.",
				outcome.Service, outcome.Daemon, outcome.Cause, outcome.RetryAfter, outcome.Daemon),
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
		return l.brokenBackend(outcome)
	case resultcode.DeadlineExceeded, resultcode.CallerGoneAfterSend:
		return l.slowBackend(outcome, story[:end])
	case resultcode.CallerGone:
		if outcome.Sent > 0 {
			return l.notOpened(outcome)
		}
		return Cause{Kind: "caller left while it waited", Subject: outcome.Service, Description: fmt.Sprintf("The caller left after %s, before a place at a back end was free.", outcome.Total)}
	default:
		return Cause{Kind: code.Info().Name, Subject: outcome.Daemon, Description: code.Info().Title + " " + outcome.Cause}
	}
}

// unfinished is a request without an outcome line.
func (l *Log) unfinished(last Line) Cause {
	if started, ok := l.next(last.Daemon, last.Time, messageStarted); ok {
		return Cause{
			Kind: "daemon ended", Subject: last.Daemon,
			Description: fmt.Sprintf("%s ended with the request in flight, without a planned stop, and started again at %s. Lines of its last 100 ms may be lost.", last.Daemon, clock(started.Time)),
		}
	}
	return Cause{Kind: "no outcome logged", Subject: last.Daemon, Description: "No line tells how it ended: " + last.Daemon + " had not finished it when its log ends, or ended for good."}
}

func answered(outcome Line) Cause {
	if outcome.Status >= http.StatusInternalServerError {
		return Cause{
			Kind: kindOwnFailure, Subject: outcome.Backend,
			Description: fmt.Sprintf("Back end %s ran it and answered with status %d of its own.", outcome.Backend, outcome.Status),
		}
	}
	return Cause{
		Kind: "answered", Subject: outcome.Backend,
		Description: fmt.Sprintf("Back end %s answered after %s; %s were spent before and after that.", outcome.Backend, outcome.Latency, Duration(time.Duration(outcome.Total)-time.Duration(outcome.Latency))),
	}
}

func (l *Log) brokenOff(outcome Line) Cause {
	if outcome.Side == "caller" {
		return Cause{Kind: "caller left during the answer", Subject: outcome.Service, Description: "The caller's connection ended while the answer was passed on: " + outcome.Cause + "."}
	}
	return Cause{
		Kind: "back end broke its answer off", Subject: string(outcome.Backends),
		Description: fmt.Sprintf("Back end %s began an answer and did not finish it (%s), so the caller's was broken off too.%s", outcome.Backends, outcome.Cause, l.othersAt(outcome)),
	}
}

func (l *Log) unknownRoute(outcome Line) Cause {
	cause := Cause{Kind: "route unknown", Subject: outcome.Daemon}
	own, _ := l.last(outcome.Daemon, outcome.Time, messageInForce)
	cause.Assumption = l.newerElsewhere(outcome.Daemon, outcome.Time)
	if cause.Assumption == "" {
		cause.Description = fmt.Sprintf("No route matches (%s). %s had revision %d, as all others.", outcome.Cause, outcome.Daemon, own.Revision)
		return cause
	}
	cause.Kind = "route not known yet"
	cause.Description = fmt.Sprintf("No route matched (%s) in revision %d, which %s had in force since %s.", outcome.Cause, own.Revision, outcome.Daemon, clock(own.Time))
	return cause
}

func (l *Log) notConfigured(outcome Line) Cause {
	cause := Cause{Kind: "daemon had no configuration yet", Subject: outcome.Daemon, Description: outcome.Daemon + " had no configuration yet."}
	if started, ok := l.last(outcome.Daemon, outcome.Time, messageStarted); ok {
		cause.Description = fmt.Sprintf("%s had started %s before and had no configuration yet.", outcome.Daemon, Duration(outcome.Time.Sub(started.Time)))
	}
	if lost, ok := l.last(outcome.Daemon, outcome.Time, messageSourceLost); ok {
		cause.Assumption = "The store did not answer: " + lost.Error
	}
	return cause
}

func (l *Log) overloaded(outcome Line) Cause {
	load := l.loadAround(outcome.Service, outcome.Time)
	cause := Cause{
		Kind: "service overloaded", Subject: outcome.Service,
		Description: fmt.Sprintf("Every place of %s was taken (%s, %s); it was refused without being run, to come back after %s. Within %s, %d requests of the service were refused and %d answered.",
			outcome.Service, outcome.Name, outcome.Cause, outcome.RetryAfter, near, load.refused, load.answered),
	}
	switch {
	case strings.Contains(outcome.Cause, routing.PhraseEvacuated):
		cause.Kind = "service overloaded while a zone is evacuated"
	case strings.Contains(outcome.Cause, routing.PhraseCold):
		cause.Kind = "service overloaded while back ends are cold"
	case strings.Contains(outcome.Cause, routing.PhraseLimited):
		cause.Kind = "service overloaded while back ends ask for fewer requests"
	}
	giver := outcome.RefusedBy
	if giver == "" {
		giver = outcome.Daemon
	}
	for _, chosen := range l.around(giver, outcome.Time, messageDispatcher) {
		if chosen.Service == outcome.Service {
			cause.Kind = "service overloaded as its dispatcher changed"
			cause.Assumption = fmt.Sprintf("%s gave out the places; it had taken %s for the dispatcher at %s, and %q before.", giver, chosen.Dispatcher, clock(chosen.Time), chosen.Previous)
		}
	}
	if ejected := l.around(giver, outcome.Time, messageEjected); len(ejected) > 0 && cause.Assumption == "" {
		cause.Assumption = fmt.Sprintf("%s had left out %d back ends for failing around then, %s first.", giver, len(ejected), ejected[0].Backend)
	}
	return cause
}

func (l *Log) noBackend(outcome Line) Cause {
	cause := Cause{Kind: "no back end takes requests", Subject: outcome.Service, Description: fmt.Sprintf("No back end of %s takes requests, as %s knew: all leave, or none is listed.", outcome.Service, outcome.Daemon)}
	if strings.Contains(outcome.Cause, routing.PhraseEvacuated) {
		cause.Kind = "zones evacuated"
		cause.Description = fmt.Sprintf("No back end of %s takes requests, as %s knew: %s.", outcome.Service, outcome.Daemon, outcome.Cause)
	}
	if own, ok := l.last(outcome.Daemon, outcome.Time, messageInForce); ok {
		cause.Assumption = fmt.Sprintf("%s had revision %d and %s back ends in all since %s.", outcome.Daemon, own.Revision, own.Backends, clock(own.Time))
	}
	return cause
}

func (l *Log) brokenBackend(outcome Line) Cause {
	last := lastOf(outcome)
	kinds := map[resultcode.Code]string{
		resultcode.ConnectFailed: "back end not reached", resultcode.ConnectionBroken: "back end broke the connection",
		resultcode.BackendRefused: "back ends refused", resultcode.AnswerUnverifiable: "back end's answer not whole or not its own",
	}
	return Cause{
		Kind: kinds[resultcode.Code(outcome.Code)], Subject: last,
		Description: fmt.Sprintf("%s (%s). It was sent %d times, to %s; %s.%s", resultcode.Code(outcome.Code).Info().Title, outcome.Cause, outcome.Sent, outcome.Backends, runSentence(outcome), l.othersAt(outcome)),
	}
}

// notOpened is a request whose caller left while a connection was being opened.
func (l *Log) notOpened(outcome Line) Cause {
	last := lastOf(outcome)
	return Cause{
		Kind: "back end not reached", Subject: last,
		Description: fmt.Sprintf("No connection to back end %s was opened before the caller left after %s; it has not run.%s", last, outcome.Total, l.othersAt(outcome)),
	}
}

// lastOf returns the last back end that a request was sent to.
func lastOf(outcome Line) string {
	tried := outcome.tried()
	if len(tried) == 0 {
		return outcome.Service
	}
	return tried[len(tried)-1]
}

func runSentence(outcome Line) string {
	if outcome.Run == string(resultcode.NotRun) {
		return "it has not run"
	}
	return "whether it ran is not known"
}

// othersAt says what became of other requests at the last back end around then.
func (l *Log) othersAt(outcome Line) string {
	answered, failed := 0, 0
	last := lastOf(outcome)
	for _, line := range l.byBackend[last] {
		switch {
		case line.Request == outcome.Request || distance(line.Time, outcome.Time) > near:
		case line.Message == messageAnswered:
			answered++
		default:
			failed++
		}
	}
	return fmt.Sprintf(" Within %s, %s answered %d others and failed %d.", near, last, answered, failed)
}

// slowBackend is a request that ran out of time at back ends.
func (l *Log) slowBackend(outcome Line, before []Line) Cause {
	last := lastOf(outcome)
	sent := outcome.Time.Add(-time.Duration(outcome.Total))
	cause := Cause{Kind: "back end too slow", Subject: last}
	for _, line := range before {
		if line.Message == messageChosen && line.Backend == last {
			sent = line.Time
			cause.Assumption = fmt.Sprintf("%s chose %s among %d by a report %s old, with %s left.", line.Dispatcher, line.Backend, line.Candidates, line.ReportAge, line.Remaining)
		}
	}
	how, silent := l.answersSince(last, sent, outcome.Time)
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
	cause.Description = fmt.Sprintf("No answer came from %s before %s after %s; %s.", outcome.Backends, ended, outcome.Total, how)
	return cause
}

// answersSince says how a back end answered others while a request was there, and
// whether it had fallen silent: it answered nobody in the second half of that time.
func (l *Log) answersSince(backend string, sent, end time.Time) (how string, silent bool) {
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
		return fmt.Sprintf("%s answered nobody after %s", backend, clock(last.Time)), true
	}
	return fmt.Sprintf("%s answered others meanwhile, the slowest after %s with a slowdown of %g", backend, slowest.Latency, slowest.Slowdown), false
}

// clock is how times of day are written.
func clock(at time.Time) string {
	return at.UTC().Format("15:04:05.000")
}
