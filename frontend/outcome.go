package frontend

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/tuliphall/tuliphall/httpcopy"
	"github.com/tuliphall/tuliphall/identity"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/resultcode"
)

// respondFailure answers a request that failed before a call was created for it.
func (h *Handler) respondFailure(w http.ResponseWriter, id string, failure *resultcode.Failure) {
	var revision uint64
	if snapshot := h.options.Services.Snapshot(); snapshot != nil {
		revision = uint64(snapshot.Revision)
	}
	h.logFailure(id, failure, slog.Uint64("revision", revision))
	h.writeFailure(w, id, failure)
}

func (h *Handler) writeFailure(w http.ResponseWriter, id string, failure *resultcode.Failure) {
	h.metrics.count(failure.Code)
	if failure.Code == resultcode.Unauthorized {
		w.Header().Set("WWW-Authenticate", identity.AuthScheme)
	}
	failure.Write(w, id, h.options.Dialect.FractionalRetryAfter)
}

// respondFailure answers the call with a failure, and logs its outcome.
func (a *attempter) respondFailure(failure *resultcode.Failure) {
	c := a.call
	c.streamed.End()
	failure = c.limitedBody.failure(failure)
	if a.handler.shortage.recordFailure(time.Now(), failure.Code) {
		a.limitSlowReaders()
	}
	a.handler.logFailure(c.id, failure, append(a.outcomeAttributes(), slog.String("refused_by", c.refusedBy),
		slog.Uint64("revision", uint64(a.handler.options.Services.Snapshot().Revision)))...)
	a.handler.writeFailure(a.writer, c.id, failure)
}

func (h *Handler) logFailure(id string, failure *resultcode.Failure, extra ...slog.Attr) {
	info := failure.Code.Info()
	attributes := append([]slog.Attr{
		slog.String("request", id), slog.Int("code", int(failure.Code)), slog.String("name", info.Name), slog.String("run", string(info.Run)),
		slog.String("cause", failure.LogText()), slog.Duration("retry_after", failure.RetryAfter),
	}, extra...)
	h.log.LogAttrs(context.Background(), slog.LevelInfo, "failed", attributes...)
}

// outcomeAttributes returns the attributes common to all log lines on the outcome of a call.
func (a *attempter) outcomeAttributes() []slog.Attr {
	c := a.call
	return []slog.Attr{
		slog.String("service", c.service.Name()), slog.String("class", c.decision.Class), slog.String("route", c.route.Name), slog.String("tenant", c.caller.TenantName()),
		slog.Int("sent", len(c.tried)), slog.String("backends", strings.Join(c.tried, " ")), slog.Duration("total", time.Since(c.received)),
		slog.String("hedge", c.hedge),
	}
}

// logAborted logs a call whose response could not be relayed completely.
func (a *attempter) logAborted(err *httpcopy.Error) {
	attributes := append([]slog.Attr{
		slog.String("request", a.call.id), slog.String("side", string(err.Side)), slog.String("cause", logging.ExcerptOfError(err.Cause)),
	}, a.outcomeAttributes()...)
	a.handler.log.LogAttrs(context.Background(), slog.LevelWarn, "answer broken off", attributes...)
}

// recordAnswered counts and logs a call whose response was relayed completely.
func (a *attempter) recordAnswered(code resultcode.Code) {
	a.handler.metrics.count(code)
	a.handler.metrics.latency.RecordDuration(time.Since(a.call.received))
	if !a.handler.options.LogDecisions() {
		return
	}
	attributes := append([]slog.Attr{slog.String("request", a.call.id), slog.Int("code", int(code))}, a.outcomeAttributes()...)
	if resp := a.relayed; resp != nil {
		attributes = append(attributes, slog.String("backend", resp.permit.backend), slog.Int("status", resp.response.StatusCode),
			slog.String("via", resp.permit.via), slog.Duration("cut_off", resp.permit.cutOffFor),
			slog.Duration("backend_latency", resp.latency))
		if resp.report != nil {
			attributes = append(attributes, slog.Int("backend_in_flight", resp.report.InFlight), slog.Float64("backend_slowdown", resp.report.Slowdown))
		}
	}
	a.handler.outcomes.LogAttrs(context.Background(), slog.LevelInfo, "answered", attributes...)
}
