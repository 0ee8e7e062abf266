package daemon

import (
	"context"
	"log/slog"
	"sort"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/network"
)

// trafficInterval is how often the traffic by purpose is reported.
const trafficInterval = 10 * time.Second

// reportTraffic counts and logs the traffic on connections that this daemon opened, by
// purpose, until ctx ends.
func (d *Daemon) reportTraffic(ctx context.Context, scope tally.Scope) {
	ticker := time.NewTicker(trafficInterval)
	defer ticker.Stop()
	var previous map[string]network.Traffic
	era, deviations := scope.Gauge("store_era"), scope.Gauge("configuration_deviations")
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		era.Update(float64(d.store.Era()))
		deviations.Update(float64(len(d.deviations())))
		totals := d.meter.Totals()
		countTraffic(scope, previous, totals)
		d.log.LogAttrs(ctx, slog.LevelInfo, "traffic", trafficAttributes(previous, totals)...)
		previous = totals
	}
}

func countTraffic(scope tally.Scope, previous, totals map[string]network.Traffic) {
	for purpose, total := range totals {
		tagged := scope.Tagged(map[string]string{"purpose": purpose})
		tagged.Counter("network_connections").Inc(total.Connections - previous[purpose].Connections)
		tagged.Counter("network_sent_bytes").Inc(total.Sent - previous[purpose].Sent)
		tagged.Counter("network_received_bytes").Inc(total.Received - previous[purpose].Received)
	}
}

// trafficAttributes returns the bytes sent and received for each purpose since the last report.
func trafficAttributes(previous, totals map[string]network.Traffic) []slog.Attr {
	purposes := make([]string, 0, len(totals))
	for purpose := range totals {
		purposes = append(purposes, purpose)
	}
	sort.Strings(purposes)
	attributes := make([]slog.Attr, 0, len(purposes))
	for _, purpose := range purposes {
		total, last := totals[purpose], previous[purpose]
		attributes = append(attributes, slog.Int64(purpose, total.Sent+total.Received-last.Sent-last.Received))
	}
	return attributes
}
