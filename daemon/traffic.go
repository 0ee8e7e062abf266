package daemon

import (
	"context"
	"log/slog"
	"sort"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/network"
)

// trafficInterval is how often the traffic by purpose is counted and logged.
const trafficInterval = 10 * time.Second

// reportTraffic counts and logs what passed over the connections that this daemon
// opened, by what they are for, until ctx ends.
func (d *Daemon) reportTraffic(ctx context.Context, scope tally.Scope) {
	ticker := time.NewTicker(trafficInterval)
	defer ticker.Stop()
	var before map[string]network.Traffic
	era := scope.Gauge("store_era")
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		era.Update(float64(d.store.Era()))
		totals := d.meter.Totals()
		countTraffic(scope, before, totals)
		d.log.LogAttrs(ctx, slog.LevelInfo, "traffic", trafficAttributes(before, totals)...)
		before = totals
	}
}

func countTraffic(scope tally.Scope, before, totals map[string]network.Traffic) {
	for purpose, total := range totals {
		tagged := scope.Tagged(map[string]string{"purpose": purpose})
		tagged.Counter("network_connections").Inc(total.Connections - before[purpose].Connections)
		tagged.Counter("network_sent_bytes").Inc(total.Sent - before[purpose].Sent)
		tagged.Counter("network_received_bytes").Inc(total.Received - before[purpose].Received)
	}
}

// trafficAttributes gives the bytes of each purpose since the last line, both ways.
func trafficAttributes(before, totals map[string]network.Traffic) []slog.Attr {
	purposes := make([]string, 0, len(totals))
	for purpose := range totals {
		purposes = append(purposes, purpose)
	}
	sort.Strings(purposes)
	attributes := make([]slog.Attr, 0, len(purposes))
	for _, purpose := range purposes {
		total, earlier := totals[purpose], before[purpose]
		attributes = append(attributes, slog.Int64(purpose, total.Sent+total.Received-earlier.Sent-earlier.Received))
	}
	return attributes
}
