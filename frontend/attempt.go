package frontend

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/identity"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
	"github.com/tuliphall/tuliphall/service"
	"github.com/tuliphall/tuliphall/signals"
)

// attempter sees one call through its attempts.
type attempter struct {
	handler  *Handler
	call     *call
	writer   http.ResponseWriter
	deadline *time.Timer
	record   *operationRecord // of an operation; nil otherwise
	got      *received        // the answer that is passed on; nil before
}

// run sends the call to back ends until one answers or no retry is allowed,
// and returns the code it ended with.
func (a *attempter) run(ctx context.Context) resultcode.Code {
	var last *resultcode.Failure // what the caller is told if nothing better comes
	kind := retry.First
	for number := 1; ; number++ {
		chosen, err := a.acquire(ctx, kind, a.call.wanted(a.call.decision.Wait, a.handler.options.Zone))
		if errors.Is(err, service.ErrOverBudget) {
			a.handler.log.Info("not retried", "request", a.call.id, "service", a.call.service.Name(), "error", err)
			break
		}
		failure := resultcode.AsFailure(err, resultcode.NoBackend)
		if chosen != nil {
			failure = a.once(ctx, chosen)
		}
		if failure == nil {
			return resultcode.Answered
		}
		last = worse(last, failure)
		if chosen == nil || !a.mayRetry(failure, number) {
			break
		}
		kind = retry.KindAfter(failure.Code)
	}
	a.refuse(last)
	return last.Code
}

// worse returns the failure that the caller is told of two: the later one, unless
// only the earlier attempt may have run.
func worse(earlier, later *resultcode.Failure) *resultcode.Failure {
	if earlier != nil && earlier.Code.Info().Run != resultcode.NotRun && later.Code.Info().Run == resultcode.NotRun {
		return earlier
	}
	return later
}

// mayRetry says whether another attempt is asked for after one that failed, and logs
// it.
func (a *attempter) mayRetry(failure *resultcode.Failure, number int) bool {
	c := a.call
	if len(c.tried) == 0 {
		return false // it was never sent
	}
	// A second attempt beside the first counts, too.
	sent := max(len(c.tried), number) - c.unsent
	verdict := retry.Evaluate(retry.Attempt{
		Code: failure.Code, Number: sent, Unsent: c.unsent, MaxAttempts: c.route.Attempts, Repeatable: c.decision.Retry, UpstreamRetry: c.attempt > 1,
		Rewindable: c.buffered, Remaining: time.Until(c.deadline), ExpectedDuration: time.Millisecond,
		UntriedBackends: len(c.service.Target().Backends) - len(c.tried), Endings: a.handler.options.Quarantine.CrashCount(c.fingerprints),
	})
	a.handler.log.Info("attempt failed", "request", c.id, "service", c.service.Name(), "attempt", number,
		"code", int(failure.Code), "cause", failure.Detail, "retry", string(verdict))
	return verdict == retry.Allowed
}

// once makes one attempt at a place. It returns nil once an answer, or a part of one,
// has been passed on.
func (a *attempter) once(ctx context.Context, chosen *place) *resultcode.Failure {
	if chosen.kind == retry.Retry {
		a.handler.metrics.retries.Inc(1)
	}
	first, failure := a.prepare(chosen)
	if failure != nil {
		return failure
	}
	if hedgeAt, may := a.hedgeAt(chosen); may {
		return a.race(ctx, first, hedgeAt)
	}
	got, failure := a.exchange(ctx, first)
	if failure != nil {
		a.call.noteFailure(failure)
		return failure
	}
	a.deliver(got)
	return nil
}

func (a *attempter) logDecision(chosen *place) {
	a.handler.metrics.waited.RecordDuration(chosen.waited)
	if !a.handler.options.LogDecisions() {
		return
	}
	c := a.call
	a.handler.routing.LogAttrs(context.Background(), slog.LevelInfo, "chosen",
		slog.String("request", c.id), slog.String("attempt_kind", chosen.kind.String()),
		slog.String("service", c.service.Name()), slog.String("class", c.decision.Class),
		slog.String("backend", chosen.backend), slog.String("dispatcher", chosen.dispatcher),
		slog.String("reason", string(chosen.reason)), slog.Int("candidates", chosen.candidates),
		slog.Duration("report_age", chosen.reportAge), slog.Duration("waited", chosen.waited),
		slog.Duration("remaining", time.Until(c.deadline)))
}

// outbound is a request that is ready to be sent to the back end of a place.
type outbound struct {
	chosen  *place
	client  *backend.Client
	request *http.Request
}

// prepare logs the choice and builds the request. Where it fails, the place is
// given back.
func (a *attempter) prepare(chosen *place) (*outbound, *resultcode.Failure) {
	a.logDecision(chosen)
	c := a.call
	client, started := c.service.Client(chosen.backend)
	if client == nil {
		chosen.done(routing.Canceled, 0, nil)
		return nil, &resultcode.Failure{Code: resultcode.NoBackend, Detail: "the back end was taken out of the placement", RetryAfter: dispatch.RetryAfterRefusal(chosen.waited)}
	}
	if refused := a.handler.options.Quarantine.Check(c.fingerprints); refused != nil {
		// The daemon that gave the place had not heard of it.
		chosen.done(routing.Canceled, 0, nil)
		return nil, refused
	}
	if !c.caller.Holds(a.handler.options.Services.Snapshot()) {
		// The key was withdrawn while the request waited.
		chosen.done(routing.Canceled, 0, nil)
		return nil, &resultcode.Failure{Code: resultcode.Unauthorized, Detail: identity.ErrUnknownKey.Error()}
	}
	if a.record != nil && !a.record.usable() {
		chosen.done(routing.Canceled, 0, nil)
		return nil, &resultcode.Failure{Code: resultcode.StoreUnavailable, Detail: "the claim lapsed before the request could be sent"}
	}
	c.tried = append(c.tried, chosen.backend)
	chosen.started = started
	return &outbound{chosen: chosen, client: client, request: c.toBackend(chosen.backend, a.handler.options.Dialect)}, nil
}

// received is an answer whose body is still to be read.
type received struct {
	refused  bool // the back end says that it did not run the request
	chosen   *place
	response *http.Response
	latency  time.Duration
	report   *routing.Report
}

// exchange sends the request and returns the answer. It blocks until the answer's
// header is there; a failed exchange has given its place back.
func (a *attempter) exchange(ctx context.Context, sent *outbound) (*received, *resultcode.Failure) {
	chosen := sent.chosen
	response, err := sent.client.Do(ctx, sent.request)
	if err != nil {
		return nil, a.sendFailed(chosen, err)
	}
	got := &received{chosen: chosen, response: response, latency: time.Since(chosen.sent), report: a.load(response)}
	got.refused = a.refused(response)
	a.handler.options.Signals.Observe(signals.Response{
		Key: backend.Key{Service: a.call.service.Name(), Backend: chosen.backend}, Started: chosen.started, Sent: chosen.sent,
		RequestID: a.call.id, Status: response.StatusCode, Header: response.Header, Refused: got.refused,
	})
	if !got.refused {
		return got, nil
	}
	response.Body.Close()
	chosen.done(got.outcome(), 0, got.report)
	return nil, &resultcode.Failure{Code: resultcode.BackendRefused, Detail: "back end " + chosen.backend, RetryAfter: dispatch.RetryAfterRefusal(chosen.waited)}
}

// outcome says what the answer tells of the back end.
func (r *received) outcome() routing.Outcome {
	switch {
	case signals.RequestsPause(r.response):
		return routing.PushedBack
	case r.refused:
		return routing.Unserved
	case r.response.StatusCode >= http.StatusInternalServerError:
		return routing.ErrorResponse
	}
	return routing.Success
}

// discard gives an answer up that nobody needs any more.
func (r *received) discard() {
	r.response.Body.Close()
	r.chosen.done(r.outcome(), r.latency, r.report)
}

// deliver passes the answer on.
func (a *attempter) deliver(got *received) {
	defer got.response.Body.Close()
	a.got = got
	a.deadline.Stop()
	// The place is held until the whole answer has been read, as the back
	// end's slot is. A caller that does not take the answer says nothing about
	// the back end.
	outcome := got.outcome()
	defer func() { got.chosen.done(outcome, got.latency, got.report) }()
	if err := a.pass(got.response, got.chosen.backend, resultcode.Answered); err != nil {
		outcome = err.outcome()
		if err.side == backendSide && a.endedUnder(got.chosen) {
			outcome = routing.ProcessExited
		}
		a.abort(err)
	} else if got.response.StatusCode < http.StatusInternalServerError {
		a.handler.options.Quarantine.RecordSuccess(a.call.fingerprints)
	}
}

// refused says whether the back end says that it did not run the request.
func (a *attempter) refused(response *http.Response) bool {
	dialect := a.handler.options.Dialect
	if dialect.NotRun != "" && response.Header.Get(dialect.NotRun) != "" {
		return true
	}
	if dialect.Instance != "" && response.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	refusal := a.call.service.Target().Service.RefusalStatus
	return refusal != 0 && response.StatusCode == refusal
}

func (a *attempter) sendFailed(chosen *place, err error) *resultcode.Failure {
	var failed *backend.Failure
	if !errors.As(err, &failed) {
		failed = &backend.Failure{Code: resultcode.ConnectionBroken, Cause: err}
	}
	outcome := routing.Unserved
	if failed.Code == resultcode.CallerGone || failed.Code == resultcode.CallerGoneAfterSend || failed.Code == resultcode.WaitExpired {
		outcome = routing.Canceled
	}
	switch {
	case failed.Code == resultcode.ConnectFailed && backend.IsRefused(failed.Cause):
		outcome = routing.ConnectionRefused
	case failed.Code == resultcode.ConnectionBroken && a.endedUnder(chosen):
		outcome = routing.ProcessExited
	}
	chosen.done(outcome, 0, nil)
	return &resultcode.Failure{Code: failed.Code, Detail: "back end " + chosen.backend + ": " + failed.Cause.Error()}
}

// load returns the load that the back end tells with an answer; nil where it tells none.
func (a *attempter) load(response *http.Response) *routing.Report {
	dialect := a.handler.options.Dialect
	report, ok := dialect.ParseReport(response.Header.Get(dialect.Report))
	if !ok {
		return nil
	}
	return new(routing.Report(report))
}

// abort breaks off an answer that has begun, so that the caller cannot take it
// for whole.
func (a *attempter) abort(err *passError) {
	a.logBrokenOff(err)
	if a.record != nil && err.side == backendSide {
		a.record.broken()
	}
	panic(http.ErrAbortHandler)
}
