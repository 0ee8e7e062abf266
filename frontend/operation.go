package frontend

import (
	"context"
	"net/http"
	"time"

	"github.com/tuliphall/tuliphall/operation"
	"github.com/tuliphall/tuliphall/resultcode"
)

// runOnce serves an operation that must not be repeated. The operation is claimed before its first
// byte is sent to a back end.
func (a *attempter) runOnce(ctx context.Context) {
	if a.forward(ctx) {
		return
	}
	c := a.call
	if !c.buffered {
		a.respondFailure(&resultcode.Failure{Code: resultcode.BadRequest, Detail: "an operation's body must have a length of at most 64 KiB"})
		return
	}
	fingerprint := operation.Fingerprint(c.request.Method, c.request.URL.RequestURI(), c.body)
	claim, result, failure := a.handler.options.Operations.Claim(ctx, c.service.Name(), c.decision.Key, fingerprint)
	switch {
	case failure != nil:
		a.respondFailure(failure)
	case result != nil:
		a.replay(result)
	default:
		a.runClaimed(ctx, claim)
	}
}

// runClaimed runs the operation and settles its claim. It continues after the caller disconnects, so
// that the outcome can be recorded.
func (a *attempter) runClaimed(ctx context.Context, claim *operation.Claim) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(a.call.deadline), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	defer a.handler.endWith(cancel)()
	a.deadline, a.cancel = timer, cancel
	record := &responseRecorder{claim: claim}
	a.record = record
	// The claim must also be settled if a panic aborts the response.
	defer claim.Abandon()
	code := a.run(detached)
	switch {
	case record.started:
		claim.Finish(record.result)
	case code.Info().Run == resultcode.NotRun:
		claim.Release()
	}
}

// replay answers with the recorded response of an earlier run.
func (a *attempter) replay(result *operation.Result) {
	header := a.writer.Header()
	if result.ContentType != "" {
		header.Set("Content-Type", result.ContentType)
	}
	setCode(header, resultcode.Replayed)
	header.Set(a.handler.options.Dialect.RequestID, a.call.id)
	a.writer.WriteHeader(result.Status)
	// The write error is dropped: a caller that has disconnected can request the same record again.
	_, _ = a.writer.Write(result.Body)
	a.recordAnswered(resultcode.Replayed)
}

// responseRecorder records the response to an operation while it is relayed.
type responseRecorder struct {
	claim   *operation.Claim
	started bool
	result  operation.Result
}

func (r *responseRecorder) claimValid() bool {
	return r.claim.Valid()
}

func (r *responseRecorder) recordHeader(response *http.Response) {
	r.started = true
	r.result = operation.Result{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Complete: true}
}

// recordBody adds a chunk, and reports whether further ones can be recorded: a result that is too long is not.
func (r *responseRecorder) recordBody(chunk []byte) (more bool) {
	if len(r.result.Body)+len(chunk) > operation.MaxResultBytes {
		r.result.Complete = false
		r.result.Body = nil
	}
	if r.result.Complete {
		r.result.Body = append(r.result.Body, chunk...)
	}
	return r.result.Complete
}

// recordIncomplete settles the claim with an incomplete result: the back end's response ended early.
func (r *responseRecorder) recordIncomplete() {
	r.result.Complete = false
	r.result.Body = nil
	r.claim.Finish(r.result)
}
