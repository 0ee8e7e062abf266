package service

import (
	"log/slog"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/dispatch"
)

// silenceReporter logs and counts what is detected at back ends that do not answer when they are full.
type silenceReporter struct {
	service                     string
	log                         *slog.Logger
	unanswered, lowered, raised tally.Counter
}

func newSilenceReporter(service string, log *slog.Logger, metrics tally.Scope) *silenceReporter {
	return &silenceReporter{
		service: service, log: log, unanswered: metrics.Counter("silent_requests"),
		lowered: metrics.Counter("silent_bounds_lowered"), raised: metrics.Counter("silent_bounds_raised"),
	}
}

// report logs and counts one change.
func (r *silenceReporter) report(change dispatch.SilenceChange) {
	r.unanswered.Inc(int64(change.Unanswered))
	lowered := change.Bound > 0 && (change.Before == 0 || change.Bound < change.Before)
	switch {
	case lowered:
		r.lowered.Inc(1)
	case change.Bound != change.Before:
		r.raised.Inc(1)
	}
	if change.Unanswered > 0 {
		r.log.Info("back end is full and does not answer", "service", r.service, "backend", change.Backend, "unanswered", change.Unanswered,
			"oldest", change.Oldest, "before", change.Before, "in_flight", change.Bound)
		return
	}
	r.log.Info("back end gets more requests at once again", "service", r.service, "backend", change.Backend, "before", change.Before, "in_flight", change.Bound)
}
