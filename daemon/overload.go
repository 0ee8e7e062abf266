package daemon

import (
	"context"
	"time"

	"github.com/tuliphall/tuliphall/overload"
)

// resourceLimits returns the limits on what callers occupy of the machine.
func (d *Daemon) resourceLimits() overload.Limits {
	resources := d.settings.Resources
	limits := overload.DefaultLimits(resources.Memory(), overload.MaxDescriptors(), d.settings.Cores)
	if resources.Connections > 0 {
		limits.Connections = resources.Connections
	}
	return limits
}

const (
	// overloadInterval is how often it is checked whether requests were still refused or connections closed.
	overloadInterval = time.Second
	// overloadEnd is the time without either after which resources are no longer short.
	overloadEnd = 5 * time.Second
)

// reportOverload logs when memory or connections become short and when they no longer are, until ctx ends. Without either
// it is blocked.
func (d *Daemon) reportOverload(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.guard.Pressed():
		}
		d.reportShortage(ctx)
	}
}

// reportShortage logs the beginning and the end of a shortage.
func (d *Daemon) reportShortage(ctx context.Context) {
	limits, began := d.guard.Limits(), time.Now()
	d.log.Warn("memory or connections are short: connections are closed or requests refused", "connections_max", limits.Connections, "request_memory_max_bytes", limits.Memory)
	ticker := time.NewTicker(overloadInterval)
	defer ticker.Stop()
	last := began
	for time.Since(last) < overloadEnd {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		select {
		case <-d.guard.Pressed():
			last = time.Now()
		default:
		}
	}
	counts := d.guard.Counts()
	d.log.Warn("memory and connections are no longer short", "duration", last.Sub(began),
		"refused_requests", counts.Refused, "evicted_connections", counts.Evicted, "rejected_connections", counts.Rejected)
}
