package frontend

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/framing"
	"github.com/tuliphall/tuliphall/httpcopy"
	"github.com/tuliphall/tuliphall/overload"
	"github.com/tuliphall/tuliphall/requestbody"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
)

// outcomeOf classifies a response that could not be relayed completely.
func outcomeOf(err *httpcopy.Error) routing.Outcome {
	if err.Side == httpcopy.Server {
		return routing.Unserved
	}
	return routing.Canceled
}

// relay streams a back end's response to the caller. It returns nil if the complete response was
// relayed. If the response came before the end of the request's body, relay blocks until the rest was passed on.
func (a *attempter) relay(ctx context.Context, response *http.Response, backendID string, code resultcode.Code) *httpcopy.Error {
	header := a.writer.Header()
	backend.CopyHeader(header, response.Header)
	if backendID != "" {
		header.Set(HeaderBackend, backendID)
		setCode(header, code)
	}
	header.Set(a.handler.options.Dialect.RequestID, a.call.id)
	if response.StatusCode == http.StatusSwitchingProtocols {
		return a.relayUpgrade(ctx, response)
	}
	if err := a.copyResponse(response); err != nil {
		return err
	}
	if !framing.EndsWithConnection(response) {
		a.recordAnswered(code)
		a.passOnBody(ctx, response)
		return nil
	}
	// A back end that ends the connection before it has taken the request's body may have failed during its response.
	if sent := a.passOnBody(ctx, response); sent.Err == requestbody.ErrReaderGone {
		return &httpcopy.Error{Side: httpcopy.Server, Cause: sent.Err}
	}
	a.recordAnswered(code)
	return nil
}

func setCode(header http.Header, code resultcode.Code) {
	header.Set(resultcode.HeaderCode, strconv.Itoa(int(code)))
	header.Set(resultcode.HeaderRun, string(code.Info().Run))
}

// copyResponse passes the response on. The response to an operation is recorded, and read to its end
// even if the caller has disconnected.
func (a *attempter) copyResponse(response *http.Response) *httpcopy.Error {
	options := httpcopy.Options{
		Buffered: backend.IsBuffered(response), Ended: a.endExchange, OnSlow: a.onSlowReader,
		Deadline: a.responseDeadline(), Abort: func() { a.cancel(context.DeadlineExceeded) },
	}
	if waitsUntil := a.call.waitsUntil; !waitsUntil.IsZero() {
		options.Latest = later(options.Deadline, waitsUntil)
	}
	if connection := overload.FromContext(a.call.request.Context()); connection != nil {
		options.Memory = connection
	}
	if a.record != nil {
		a.record.recordHeader(response)
		options.Record = a.record.recordBody
	}
	return httpcopy.Response(a.writer, response, options)
}

// responseDeadline returns when the back end must have sent the whole response; zero: at any time. A route with a timeout
// limits the whole, and a caller's earlier deadline only the start, as what is ready is delivered even if it is late. Without a
// timeout, a response may be a stream that lasts as long as both sides want. The response to an operation is no stream.
func (a *attempter) responseDeadline() time.Time {
	c := a.call
	switch {
	case c.route.Timeout > 0:
		return c.received.Add(time.Duration(c.route.Timeout))
	case a.record != nil:
		return c.deadline
	}
	return time.Time{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// onSlowReader notes that the caller does not take the response, which occupies a back end.
func (a *attempter) onSlowReader(write *httpcopy.SlowWrite) (end func()) {
	a.takenSlowly.Store(true)
	end = a.handler.slowReaders.add(a.call.service.Name(), write)
	if a.handler.shortage.lasts(time.Now()) {
		a.limitSlowReaders()
	}
	return end
}

// limitSlowReaders breaks off responses of the service that callers do not take, so that they and uploads leave slots to other
// requests. It is called while capacity is short.
func (a *attempter) limitSlowReaders() {
	service := a.call.service.Name()
	if !a.handler.slowReaders.any(service) {
		return
	}
	limit := shareOf(a.usableSlots(), slowReaderShare) - a.handler.uploads.running(service)
	a.handler.slowReaders.enforce(service, max(limit, 0))
}

// relayUpgrade pipes data between the connections of the caller and the back end after a 101
// response, until either side closes.
func (a *attempter) relayUpgrade(ctx context.Context, response *http.Response) *httpcopy.Error {
	if sent := a.call.streamed.Await(ctx); !sent.Whole() {
		return &httpcopy.Error{Side: httpcopy.Caller, Cause: errors.Annotate(sent.Err, "protocol not switched before the end of the request's body")}
	}
	a.handler.upgraded.Add(1)
	defer a.handler.upgraded.Done()
	return httpcopy.Upgrade(a.writer, response, func() { a.recordAnswered(resultcode.Answered) })
}

// passOnBody passes the rest of the request's body on to a back end that has responded before the end of it, and returns how
// far the body was passed on.
func (a *attempter) passOnBody(ctx context.Context, response *http.Response) requestbody.Progress {
	c := a.call
	if sent := c.streamed.Progress(); sent.Whole() {
		return sent
	}
	answered, cause := time.Now(), ""
	sent := c.streamed.PassOn(ctx, response.StatusCode)
	if !sent.Whole() {
		cause = sent.Err.Error()
	}
	a.handler.metrics.countEarlyResponse(sent.Whole())
	a.handler.log.LogAttrs(context.Background(), slog.LevelInfo, "response before the end of the request's body",
		slog.String("request", c.id), slog.String("service", c.service.Name()), slog.Int("status", response.StatusCode),
		slog.Int64("body_bytes", sent.Bytes), slog.Bool("body_whole", sent.Whole()), slog.String("cause", cause), slog.Duration("after_response", time.Since(answered)))
	return sent
}
