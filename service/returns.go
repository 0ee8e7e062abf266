package service

import (
	"log/slog"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/routing"
)

// reportReturns returns the callback that logs and counts the returns of a service's back ends.
func reportReturns(log *slog.Logger, metrics tally.Scope, service string) func(status routing.ReturnStatus) {
	if metrics == nil {
		metrics = tally.NoopScope
	}
	returns, ceilings := metrics.Counter("backend_returns"), metrics.Counter("return_ceilings")
	return func(status routing.ReturnStatus) {
		switch {
		case status.Returning == 0:
			log.Info("back ends have returned", "service", service)
		case status.Ceiling > 0:
			ceilings.Inc(1)
			log.Warn("back end failed during its return; cold ones get fewer requests", "service", service, "returning", status.Returning, "in_flight", status.Ceiling)
		default:
			returns.Inc(1)
			log.Info("back ends are returning", "service", service, "returning", status.Returning)
		}
	}
}
