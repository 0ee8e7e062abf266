package daemon

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/service"
)

// refusalsInterval is how often decisions about requests without capacity are counted and logged.
const refusalsInterval = 10 * time.Second

// reportRefusals counts and logs, for each service that this daemon dispatches, the late requests
// that waited and the callers that returned, until ctx ends. A service in which there were none
// since the last report has no line.
func (d *Daemon) reportRefusals(ctx context.Context, scope tally.Scope) {
	ticker := time.NewTicker(refusalsInterval)
	defer ticker.Stop()
	previous := make(map[*service.Service]dispatch.RefusalCounts)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		current := make(map[*service.Service]dispatch.RefusalCounts)
		for name, running := range d.services.All() {
			counts := running.Dispatcher.RefusalCounts()
			current[running] = counts
			if before := previous[running]; counts != before {
				countRefusals(scope, before, counts)
				d.log.Info("capacity was short", "service", name,
					"late_queued", counts.LateQueued-before.LateQueued, "late_granted", counts.LateGranted-before.LateGranted,
					"told_to_return", counts.Returns.Given-before.Returns.Given, "returned", counts.Returns.Kept-before.Returns.Kept,
					"returned_early", counts.Returns.Early-before.Returns.Early, "no_time", counts.Returns.Full-before.Returns.Full,
					"forgotten", counts.Returns.Evicted-before.Returns.Evicted)
			}
		}
		previous = current
	}
}

func countRefusals(scope tally.Scope, before, counts dispatch.RefusalCounts) {
	count := func(metric, outcome string, before, now uint64) {
		scope.Tagged(map[string]string{"outcome": outcome}).Counter(metric).Inc(int64(now - before))
	}
	count("late_requests", "queued", before.LateQueued, counts.LateQueued)
	count("late_requests", "granted", before.LateGranted, counts.LateGranted)
	count("caller_returns", "told", before.Returns.Given, counts.Returns.Given)
	count("caller_returns", "no-time", before.Returns.Full, counts.Returns.Full)
	count("caller_returns", "kept", before.Returns.Kept, counts.Returns.Kept)
	count("caller_returns", "early", before.Returns.Early, counts.Returns.Early)
	count("caller_returns", "forgotten", before.Returns.Evicted, counts.Returns.Evicted)
}
