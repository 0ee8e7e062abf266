package frontend

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/httpcopy"
	"github.com/tuliphall/tuliphall/identity"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/overload"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
	"github.com/tuliphall/tuliphall/service"
	"github.com/tuliphall/tuliphall/signals"
)

// attempter makes the attempts of one call.
type attempter struct {
	handler  *Handler
	call     *call
	writer   http.ResponseWriter
	deadline *time.Timer
	// cancel cancels the exchange with the back end.
	cancel  context.CancelCauseFunc
	record  *responseRecorder // of an operation; nil otherwise
	relayed *backendResponse  // the response that is relayed to the caller; nil before
	// endExchange is called when the whole response has been read and the caller takes it slowly.
	endExchange func()
	// takenSlowly: the caller took the response slowly while the back end had not sent all of it.
	takenSlowly atomic.Bool
	// endUpload is called when the request no longer occupies a back end because its caller is sending the body.
	endUpload func()
}

// run sends the call to back ends until one responds or no retry is allowed, and returns the result
// code of the call.
func (a *attempter) run(ctx context.Context) resultcode.Code {
	var last *resultcode.Failure // reported to the caller if no later attempt succeeds
	kind := retry.First
	for number := 1; ; number++ {
		if failure := a.unreachableFailure(); failure != nil {
			last = failureToReport(last, failure)
			break
		}
		permit, err := a.acquirePermit(ctx, kind, a.call.permitRequest(a.call.decision.Wait, a.handler.options.Name, a.handler.options.Zone))
		if errors.Is(err, service.ErrOverBudget) {
			a.handler.log.Info("not retried", "request", a.call.id, "service", a.call.service.Name(), "error", err)
			break
		}
		failure := resultcode.AsFailure(err, resultcode.NoBackend)
		if permit != nil {
			failure = a.attemptOnce(ctx, permit)
		}
		if failure == nil {
			return resultcode.Answered
		}
		last = failureToReport(last, failure)
		if permit == nil || !a.mayRetry(failure, number) {
			break
		}
		kind = retry.KindAfter(failure.Code)
	}
	a.respondFailure(last)
	return last.Code
}

// failureToReport returns which of two failures is reported to the caller: the later one, unless only
// the earlier attempt may have run the request.
func failureToReport(earlier, later *resultcode.Failure) *resultcode.Failure {
	if earlier != nil && earlier.Code.Info().Run != resultcode.NotRun && later.Code.Info().Run == resultcode.NotRun {
		return earlier
	}
	return later
}

// mayRetry decides whether to try another attempt after a failed one, and logs the verdict.
func (a *attempter) mayRetry(failure *resultcode.Failure, number int) bool {
	c := a.call
	if len(c.tried) == 0 {
		return false // the request was never sent
	}
	// A hedge counts as an attempt, too.
	sent := max(len(c.tried), number) - c.unsent
	verdict := retry.Evaluate(retry.Attempt{
		Code: failure.Code, Number: sent, Unsent: c.unsent, MaxAttempts: c.route.Attempts, Repeatable: c.decision.Retry, UpstreamRetry: c.attempt > 1,
		Rewindable: c.buffered, Remaining: time.Until(c.deadline), ExpectedDuration: time.Millisecond,
		UntriedBackends: len(c.service.Target().Backends) - len(c.tried), Crashes: a.handler.options.Quarantine.CrashCount(c.fingerprints),
	})
	a.handler.log.Info("attempt failed", "request", c.id, "service", c.service.Name(), "attempt", number,
		"code", int(failure.Code), "cause", failure.LogText(), "retry", string(verdict))
	return verdict == retry.Allowed
}

// attemptOnce makes one attempt with a permit. It returns nil if the response has been relayed, in
// whole or in part.
func (a *attempter) attemptOnce(ctx context.Context, permit *grantedPermit) *resultcode.Failure {
	if permit.kind == retry.Retry {
		a.handler.metrics.retries.Inc(1)
	}
	first, failure := a.prepare(permit)
	if failure != nil {
		return failure
	}
	if hedgeAt, may := a.hedgeAt(permit); may {
		return a.runHedged(ctx, first, hedgeAt)
	}
	resp, failure := a.exchange(ctx, first)
	if failure != nil {
		a.call.recordFailure(failure)
		return failure
	}
	a.deliver(ctx, resp)
	return nil
}

func (a *attempter) logDecision(permit *grantedPermit) {
	a.handler.metrics.waited.RecordDuration(permit.waited)
	if a.handler.shortage.recordWait(time.Now(), permit.waited) {
		a.limitSlowReaders()
	}
	if !a.handler.options.LogDecisions() {
		return
	}
	c := a.call
	a.handler.routing.LogAttrs(context.Background(), slog.LevelInfo, "chosen",
		slog.String("request", c.id), slog.String("attempt_kind", permit.kind.String()),
		slog.String("service", c.service.Name()), slog.String("class", c.decision.Class),
		slog.String("backend", permit.backend), slog.String("dispatcher", permit.dispatcher),
		slog.String("reason", string(permit.reason)), slog.Int("candidates", permit.candidates),
		slog.Duration("report_age", permit.reportAge), slog.Duration("waited", permit.waited),
		slog.Duration("remaining", time.Until(c.deadline)))
}

// outboundRequest is a request that is ready to be sent to the back end of a permit.
type outboundRequest struct {
	permit  *grantedPermit
	client  *backend.Client
	attempt int // number of the attempt
	request *http.Request
}

// prepare logs the decision and builds the request. If it fails, it releases the permit.
func (a *attempter) prepare(permit *grantedPermit) (*outboundRequest, *resultcode.Failure) {
	a.logDecision(permit)
	c := a.call
	client, started := c.service.Client(permit.backend)
	if client == nil {
		permit.done(routing.Canceled, 0, nil)
		return nil, &resultcode.Failure{Code: resultcode.NoBackend, Detail: "the back end was taken out of the placement", RetryAfter: dispatch.RetryAfterRefusal(permit.waited)}
	}
	if refused := a.handler.options.Quarantine.Check(c.fingerprints); refused != nil {
		// The daemon that granted the permit did not know yet that the request is quarantined.
		permit.done(routing.Canceled, 0, nil)
		return nil, refused
	}
	if a.handler.begunTooLate(c) {
		permit.done(routing.Canceled, 0, nil)
		return nil, stoppingFailure()
	}
	if !c.caller.StillValid(a.handler.options.Services.Snapshot()) {
		// The tenant's key was revoked while the request was queued.
		permit.done(routing.Canceled, 0, nil)
		return nil, &resultcode.Failure{Code: resultcode.Unauthorized, Detail: identity.ErrUnknownKey.Error()}
	}
	if a.record != nil && !a.record.claimValid() {
		permit.done(routing.Canceled, 0, nil)
		return nil, &resultcode.Failure{Code: resultcode.StoreUnavailable, Detail: "the claim lapsed before the request could be sent"}
	}
	if a.handler.shortage.lasts(time.Now()) && overload.FromContext(c.request.Context()).Stalled() {
		permit.done(routing.Canceled, 0, nil)
		return nil, overloaded("capacity is short, and the caller takes nothing of its earlier responses")
	}
	c.tried = append(c.tried, permit.backend)
	permit.started = started
	attempt := max(len(c.tried), c.attempt)
	return &outboundRequest{permit: permit, client: client, attempt: attempt, request: c.backendRequest(permit.backend, attempt, a.handler.options.Dialect)}, nil
}

// backendResponse is a response whose body has not been read yet.
type backendResponse struct {
	refused  bool // the back end states that it did not run the request
	permit   *grantedPermit
	response *http.Response
	latency  time.Duration // without the time in which the back end waited for the body
	report   *routing.Report
	// sentSlowly: for most of the time until the response the back end waited for the body.
	sentSlowly bool
}

// exchange sends the request and returns the response. It blocks until the header of the response has
// arrived. If the exchange fails, the permit has been released.
func (a *attempter) exchange(ctx context.Context, sent *outboundRequest) (*backendResponse, *resultcode.Failure) {
	permit := sent.permit
	response, err := a.send(ctx, sent)
	if err != nil {
		return nil, a.handleExchangeError(permit, err)
	}
	resp := &backendResponse{permit: permit, response: response, latency: time.Since(permit.sent), report: a.loadReport(response)}
	if arrived := a.call.streamed.ReceivedAt(); arrived.Sub(permit.sent) > resp.latency/2 {
		resp.latency, resp.sentSlowly = time.Since(arrived), true
	}
	resp.refused = a.handler.options.Dialect.Refuses(response, a.call.service.Target().Service.RefusalStatus)
	a.handler.options.Signals.Observe(signals.Response{
		Key: backend.Key{Service: a.call.service.Name(), Backend: permit.backend}, Started: permit.started, Sent: permit.sent,
		RequestID: a.call.id, Status: response.StatusCode, Header: response.Header, Refused: resp.refused,
	})
	if !resp.refused {
		return resp, nil
	}
	response.Body.Close()
	permit.done(resp.outcome(), 0, resp.report)
	return nil, &resultcode.Failure{Code: resultcode.BackendRefused, Detail: "back end " + permit.backend, RetryAfter: dispatch.RetryAfterRefusal(permit.waited)}
}

// outcome classifies the response for the state of the back end.
func (r *backendResponse) outcome() routing.Outcome {
	switch {
	case signals.RequestsPause(r.response):
		return routing.PushedBack
	case r.refused:
		return routing.Unserved
	case r.response.StatusCode >= http.StatusInternalServerError:
		return routing.ErrorResponse
	case r.sentSlowly:
		return routing.AnsweredAtCallersPace
	}
	return routing.Success
}

// discard closes a response that is not needed any more and releases its permit.
func (r *backendResponse) discard() {
	r.response.Body.Close()
	r.permit.done(r.outcome(), r.latency, r.report)
}

// deliver relays the response to the caller and releases the permit.
func (a *attempter) deliver(ctx context.Context, resp *backendResponse) {
	defer resp.response.Body.Close()
	a.relayed = resp
	a.deadline.Stop()
	a.endUpload()
	// The permit is held until the whole response has been read and the request's body was passed on, because the back
	// end's slot is occupied until then. A caller that does not read the response does not affect the state of the
	// back end.
	outcome := resp.outcome()
	release := sync.OnceFunc(func() { resp.permit.done(a.pacedOutcome(outcome), resp.latency, resp.report) })
	defer release()
	a.endExchange = func() {
		a.takenSlowly.Store(true)
		if a.call.streamed.Progress().Whole() {
			release()
		}
	}
	if err := a.relay(ctx, resp.response, resp.permit.backend, resultcode.Answered); err != nil {
		outcome = outcomeOf(err)
		switch {
		case err.Side != httpcopy.Server:
		case a.crashedDuring(resp.permit):
			outcome = routing.ProcessExited
		case resp.permit.relayed || a.pathFailed(resp.permit) || a.isCutOff():
			outcome = routing.Unreached // the other daemon, or the path to it or to the back end, may have failed
		}
		a.abortResponse(err)
	} else if resp.response.StatusCode < http.StatusInternalServerError {
		a.handler.options.Quarantine.RecordSuccess(a.call.fingerprints)
	}
}

// pacedOutcome returns the outcome of an exchange, given what it is if the caller took the response at once.
func (a *attempter) pacedOutcome(outcome routing.Outcome) routing.Outcome {
	switch {
	case !a.takenSlowly.Load():
	case outcome == routing.Success:
		return routing.AnsweredAtCallersPace
	case outcome == routing.Canceled:
		return routing.CallerStalled
	}
	return outcome
}

func (a *attempter) handleExchangeError(permit *grantedPermit, err error) *resultcode.Failure {
	failed := backend.AsFailure(err)
	permit.done(a.outcomeOfFailure(permit, failed), 0, nil)
	code, retryAfter := failed.Code, time.Duration(0)
	switch code {
	case resultcode.NoBackend:
		code = resultcode.ConnectFailed // nothing was sent
	case resultcode.BackendsUnreachable:
		retryAfter = a.retryAfterUnreachable()
	}
	return &resultcode.Failure{Code: code, Detail: "back end " + permit.backend, Cause: failed.Cause, RetryAfter: retryAfter}
}

// loadReport returns the load report of a response; nil if it has none.
func (a *attempter) loadReport(response *http.Response) *routing.Report {
	dialect := a.handler.options.Dialect
	report, ok := dialect.ParseReport(response.Header.Get(dialect.Report))
	if !ok {
		return nil
	}
	return new(routing.Report(report))
}

// abortResponse aborts a response that has been started, so that the caller cannot mistake it for a
// complete one.
func (a *attempter) abortResponse(err *httpcopy.Error) {
	a.logAborted(err)
	if a.record != nil && err.Side == httpcopy.Server {
		a.record.recordIncomplete()
	}
	if !a.call.request.ProtoAtLeast(1, 1) {
		a.resetCaller()
	}
	panic(http.ErrAbortHandler)
}

// resetCaller resets the connection of a caller of HTTP/1.0, which takes a clean close for the end of a response without
// a length.
func (a *attempter) resetCaller() {
	conn, _, err := http.NewResponseController(a.writer).Hijack()
	if err != nil {
		return // the connection has been closed
	}
	network.AbortOnClose(conn)
	conn.Close()
}
