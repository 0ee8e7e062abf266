package frontend

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
)

// attempter sees one call through its attempts.
type attempter struct {
	handler  *Handler
	call     *call
	writer   http.ResponseWriter
	deadline *time.Timer
	record   *operationRecord // of an operation; nil otherwise
}

// run serves the call here, or forwards it to the daemon that dispatches its
// service.
func (a *attempter) run(ctx context.Context) {
	if a.forward(ctx) {
		return
	}
	a.local(ctx)
}

// local sends the call to back ends until one answers or no retry is allowed,
// and returns the code it ended with.
func (a *attempter) local(ctx context.Context) resultcode.Code {
	c := a.call
	c.service.Earn()
	for number := 1; ; number++ {
		failure := a.once(ctx)
		if failure == nil {
			return resultcode.Answered
		}
		if !a.retry(failure, number) {
			a.handler.refuse(a.writer, c.id, failure)
			return failure.Code
		}
	}
}

// retry asks whether the failed attempt is made again, and logs it.
func (a *attempter) retry(failure *resultcode.Failure, number int) bool {
	c := a.call
	if len(c.tried) == 0 {
		return false // it never got a place
	}
	verdict := c.service.DecideRetry(retry.Attempt{
		Code: failure.Code, Number: number, Most: c.route.Attempts, Repeatable: c.decision.Retry, Upstream: c.attempt > 1,
		Rewindable: c.buffered, Remaining: time.Until(c.deadline), Expected: time.Millisecond,
		Backends: len(c.service.Target().Backends) - len(c.tried),
	})
	a.handler.log.Info("attempt failed", "request", c.id, "service", c.service.Name(), "attempt", number,
		"code", int(failure.Code), "cause", failure.Detail, "retry", string(verdict))
	if verdict == retry.Again {
		a.handler.metrics.retries.Inc(1)
		return true
	}
	return false
}

// once makes one attempt. It returns nil once an answer, or a part of one, has
// been passed on.
func (a *attempter) once(ctx context.Context) *resultcode.Failure {
	c := a.call
	grant, err := c.service.Dispatcher.Acquire(ctx, dispatch.Request{
		Weight: c.decision.Weight, Wait: c.decision.Wait, Deadline: c.deadline,
		Routing: routing.Request{Session: c.decision.Session, Tried: c.tried, Repeatable: c.decision.Retry},
	})
	if err != nil {
		var failure *resultcode.Failure
		if errors.As(err, &failure) {
			return failure
		}
		return &resultcode.Failure{Code: resultcode.NoBackend, Detail: err.Error()}
	}
	a.logDecision(grant)
	return a.send(ctx, grant)
}

func (a *attempter) logDecision(grant *dispatch.Grant) {
	a.handler.metrics.waited.RecordDuration(grant.Waited())
	if !a.handler.options.LogDecisions {
		return
	}
	c := a.call
	a.handler.routing.Info("chosen", "request", c.id, "service", c.service.Name(), "class", c.decision.Class,
		"backend", grant.Backend.ID, "reason", string(grant.Reason), "candidates", grant.Candidates,
		"report_age", grant.ReportAge, "waited", grant.Waited())
}

// send sends the call to the back end of the grant and passes the answer on.
func (a *attempter) send(ctx context.Context, grant *dispatch.Grant) *resultcode.Failure {
	c := a.call
	client := c.service.Client(grant.Backend.ID)
	if client == nil {
		grant.Done(routing.Canceled, 0)
		return &resultcode.Failure{Code: resultcode.NoBackend, Detail: "the back end was taken out of the placement"}
	}
	if a.record != nil && !a.record.usable() {
		grant.Done(routing.Canceled, 0)
		return &resultcode.Failure{Code: resultcode.StoreUnavailable, Detail: "the claim lapsed before the request could be sent"}
	}
	c.tried = append(c.tried, grant.Backend.ID)
	response, err := client.Do(ctx, c.toBackend(grant.Backend.ID, a.handler.options.Dialect))
	if err != nil {
		return a.sendFailed(grant, err)
	}
	defer response.Body.Close()
	latency := time.Since(grant.Sent)
	a.learn(grant, response)
	if a.refused(response) {
		if response.StatusCode == http.StatusMisdirectedRequest {
			// Another back end has the address: this one is gone.
			a.handler.options.Peers.HeardDraining(c.service.Name(), grant.Backend.ID, true)
		}
		grant.Done(routing.Failed, 0)
		return &resultcode.Failure{Code: resultcode.BackendRefused, Detail: "back end " + grant.Backend.ID, RetryAfter: time.Second}
	}
	outcome := routing.Success
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = routing.Failed
	}
	a.deadline.Stop()
	// The place is held until the whole answer has been read, as the back
	// end's slot is. A caller that does not take the answer says nothing about
	// the back end.
	defer func() { grant.Done(outcome, latency) }()
	if err := a.pass(response, grant.Backend.ID, resultcode.Answered); err != nil {
		outcome = err.outcome()
		a.abort(err)
	}
	return nil
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

func (a *attempter) sendFailed(grant *dispatch.Grant, err error) *resultcode.Failure {
	var failed *backend.Failure
	if !errors.As(err, &failed) {
		failed = &backend.Failure{Code: resultcode.ConnectionBroken, Cause: err}
	}
	outcome := routing.Failed
	if failed.Code == resultcode.CallerGone || failed.Code == resultcode.CallerGoneAfterSend || failed.Code == resultcode.WaitExpired {
		outcome = routing.Canceled
	}
	grant.Done(outcome, 0)
	return &resultcode.Failure{Code: failed.Code, Detail: "back end " + grant.Backend.ID + ": " + failed.Cause.Error()}
}

// learn takes in what the back end says of itself on an answer.
func (a *attempter) learn(grant *dispatch.Grant, response *http.Response) {
	dialect := a.handler.options.Dialect
	if report, ok := dialect.ParseReport(response.Header.Get(dialect.Report)); ok {
		a.call.service.Dispatcher.Report(grant.Backend, routing.Report(report))
	}
	switch response.Header.Get(backend.HeaderDraining) {
	case "true":
		a.handler.options.Peers.HeardDraining(a.call.service.Name(), grant.Backend.ID, true)
	case "false":
		a.handler.options.Peers.HeardDraining(a.call.service.Name(), grant.Backend.ID, false)
	}
}

// abort breaks off an answer that has begun, so that the caller cannot take it
// for whole.
func (a *attempter) abort(err *passError) {
	a.handler.log.Warn("answer broken off", "request", a.call.id, "service", a.call.service.Name(), "side", string(err.side), "error", err.cause)
	if a.record != nil && err.side == backendSide {
		a.record.broken()
	}
	panic(http.ErrAbortHandler)
}
