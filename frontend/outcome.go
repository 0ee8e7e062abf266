package frontend

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/tuliphall/tuliphall/resultcode"
)

// refuse answers with a failure of a request that no call was made of.
func (h *Handler) refuse(w http.ResponseWriter, id string, failure *resultcode.Failure) {
	h.logRefused(id, failure)
	h.writeFailure(w, id, failure)
}

func (h *Handler) writeFailure(w http.ResponseWriter, id string, failure *resultcode.Failure) {
	h.metrics.count(failure.Code)
	failure.Write(w, id, h.options.Dialect.FractionalRetryAfter)
}

// refuse answers with a failure, and logs how the call ended.
func (a *attempter) refuse(failure *resultcode.Failure) {
	c := a.call
	a.handler.logRefused(c.id, failure, slog.String("service", c.service.Name()), slog.String("class", c.decision.Class),
		slog.Int("sent", len(c.tried)), slog.Duration("total", time.Since(c.received)))
	a.handler.writeFailure(a.writer, c.id, failure)
}

func (h *Handler) logRefused(id string, failure *resultcode.Failure, more ...slog.Attr) {
	info := failure.Code.Info()
	attributes := append([]slog.Attr{
		slog.String("request", id), slog.Int("code", int(failure.Code)), slog.String("name", info.Name), slog.String("run", string(info.Run)),
		slog.String("cause", failure.Detail), slog.Duration("retry_after", failure.RetryAfter),
	}, more...)
	h.log.LogAttrs(context.Background(), slog.LevelInfo, "failed", attributes...)
}

// answered counts and logs a call whose answer was passed on whole.
func (a *attempter) answered(code resultcode.Code) {
	total := time.Since(a.call.received)
	a.handler.metrics.count(code)
	a.handler.metrics.latency.RecordDuration(total)
	if !a.handler.options.LogDecisions {
		return
	}
	c := a.call
	attributes := []slog.Attr{
		slog.String("request", c.id), slog.Int("code", int(code)), slog.String("service", c.service.Name()), slog.String("class", c.decision.Class),
		slog.Int("sent", len(c.tried)), slog.Duration("total", total),
	}
	if got := a.got; got != nil {
		attributes = append(attributes, slog.String("backend", got.chosen.backend), slog.Int("status", got.response.StatusCode),
			slog.Duration("backend_latency", got.latency))
		if got.report != nil {
			attributes = append(attributes, slog.Int("backend_in_flight", got.report.InFlight), slog.Float64("backend_slowdown", got.report.Slowdown))
		}
	}
	a.handler.outcomes.LogAttrs(context.Background(), slog.LevelInfo, "answered", attributes...)
}
