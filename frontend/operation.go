package frontend

import (
	"context"
	"net/http"
	"time"

	"github.com/tuliphall/tuliphall/operation"
	"github.com/tuliphall/tuliphall/resultcode"
)

// runOnce serves an operation that must not be repeated: it is claimed before
// its first byte goes to a back end.
func (a *attempter) runOnce(ctx context.Context) {
	if a.forward(ctx) {
		return
	}
	c := a.call
	if !c.buffered {
		a.refuse(&resultcode.Failure{Code: resultcode.BadRequest, Detail: "an operation's body must have a length of at most 64 KiB"})
		return
	}
	fingerprint := operation.Fingerprint(c.request.Method, c.request.URL.RequestURI(), c.body)
	claim, result, failure := a.handler.options.Operations.Claim(ctx, c.service.Name(), c.decision.Key, fingerprint)
	switch {
	case failure != nil:
		a.refuse(failure)
	case result != nil:
		a.replay(result)
	default:
		a.runClaimed(ctx, claim)
	}
}

// runClaimed runs the operation and settles its claim. A caller that leaves does
// not stop it, so that the outcome can be recorded.
func (a *attempter) runClaimed(ctx context.Context, claim *operation.Claim) {
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(a.call.deadline), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	a.deadline = timer
	record := &operationRecord{claim: claim}
	a.record = record
	// A panic that breaks off the answer must leave the claim settled too.
	defer claim.Abandon()
	code := a.run(detached)
	switch {
	case record.begun:
		claim.Finish(record.result)
	case code.Info().Run == resultcode.NotRun:
		claim.Release()
	}
}

// replay answers with the recorded answer of an earlier run.
func (a *attempter) replay(result *operation.Result) {
	header := a.writer.Header()
	if result.ContentType != "" {
		header.Set("Content-Type", result.ContentType)
	}
	setCode(header, resultcode.Replayed)
	header.Set(a.handler.options.Dialect.RequestID, a.call.id)
	a.writer.WriteHeader(result.Status)
	// A caller that has gone may come back for the same record.
	_, _ = a.writer.Write(result.Body)
	a.answered(resultcode.Replayed)
}

// operationRecord keeps an operation's answer while it is passed on.
type operationRecord struct {
	claim  *operation.Claim
	begun  bool
	result operation.Result
}

func (r *operationRecord) usable() bool {
	return r.claim.Valid()
}

func (r *operationRecord) begin(response *http.Response) {
	r.begun = true
	r.result = operation.Result{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Complete: true}
}

func (r *operationRecord) body(piece []byte) {
	if len(r.result.Body)+len(piece) > operation.MaxResultBytes {
		r.result.Complete = false
		r.result.Body = nil
		return
	}
	if r.result.Complete {
		r.result.Body = append(r.result.Body, piece...)
	}
}

// broken notes that the back end's answer ended early.
func (r *operationRecord) broken() {
	r.result.Complete = false
	r.result.Body = nil
	r.claim.Finish(r.result)
}
