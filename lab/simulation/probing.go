package simulation

import (
	"time"

	"github.com/tuliphall/tuliphall/routing"
)

// Parameters of the load probes, as on the users' platform.
const (
	probePollInterval = 5 * time.Millisecond
	probeFreshness    = 25 * time.Millisecond
)

// scheduleLoadProbes sends load probes, if the pattern has any.
func (r *replay) scheduleLoadProbes() {
	perSecond := r.pattern.Backends.ProbesPerBackend
	if perSecond == 0 {
		return
	}
	r.after(probePollInterval, func() {
		id, due := r.core.Group.LoadProbeTarget(r.time(), probeFreshness, time.Duration(float64(time.Second)/perSecond))
		if due {
			r.sendLoadProbe(id)
		}
		r.scheduleLoadProbes()
	})
}

func (r *replay) sendLoadProbe(id string) {
	target, group := r.byID[id], r.core.Group
	r.after(r.pattern.messageDelay(), func() {
		exited, report, speed := target.exited, target.report(), target.speed
		r.after(r.pattern.messageDelay(), func() {
			if group != r.core.Group {
				return // the dispatcher was replaced
			}
			if exited {
				group.RecordLoadProbeFailure(id)
				return
			}
			r.known.record(target, speed, r.clock.now-r.pattern.messageDelay())
			r.core.RecordLoadProbe(r.time(), id, report)
			r.serveWaiting()
		})
	})
}

// report returns the load report of the back end.
func (w *worker) report() routing.Report {
	return routing.Report{InFlight: w.inFlight(), Slowdown: w.slowdown()}
}
