package simulation

import "time"

// scheduleEvent schedules an event of the pattern.
func (r *replay) scheduleEvent(event PatternEvent) {
	r.after(time.Duration(event.At), func() {
		affected := r.workers[:int(event.Share*float64(len(r.workers)))]
		switch event.Kind {
		case eventBurst:
			r.rateFactor = event.Factor
			r.after(time.Duration(event.Duration), func() { r.rateFactor = 1 })
		case eventForget:
			r.replaceDispatcher()
		case eventJoin:
			joined := r.addWorkers(int(event.Share * float64(len(r.workers))))
			r.makeCold(joined)
			r.updateBackends()
			r.slowDown(joined, event)
		case eventEvacuate:
			r.evacuate(affected, event)
		case eventSlow:
			r.slowDown(affected, event)
		case eventShed:
			r.applyFor(affected, event, func(target *worker, active bool) {
				target.rejectShare = 0
				if active {
					target.rejectShare = event.Factor
				}
			})
		case eventExit:
			r.exit(affected, event)
		case eventExitZone:
			r.exit(r.exitZone(), event)
		case eventGone:
			r.applyFor(affected, event, func(target *worker, active bool) { target.unavailable = active })
		}
		r.serveWaiting()
	})
}

// evacuate drains back ends for the duration of the event; afterwards they are cold.
func (r *replay) evacuate(affected []*worker, event PatternEvent) {
	r.applyFor(affected, event, func(target *worker, active bool) {
		r.core.Group.SetDraining(r.time(), target.id, active)
		target.evacuatedAt = 0
		if active {
			target.evacuatedAt = r.clock.now
		}
	})
	warmUp := r.pattern.Backends.WarmUp
	r.after(time.Duration(event.Duration), func() {
		r.makeCold(affected)
		r.slowDown(affected, PatternEvent{Duration: warmUp, Factor: event.Factor})
	})
}

// makeCold makes back ends cold for the warm-up time of the pattern.
func (r *replay) makeCold(affected []*worker) {
	for _, target := range affected {
		target.startCold(time.Duration(r.pattern.Backends.WarmUp), r.pattern.Backends.ColdFailureThreshold)
	}
}

func (r *replay) slowDown(affected []*worker, event PatternEvent) {
	r.applyFor(affected, event, func(target *worker, active bool) {
		factor := 1.0
		if active {
			factor = event.Factor
		}
		target.setSpeed(target.speed, factor)
	})
}

// applyFor applies an event to some back ends and reverts it when its duration is over.
func (r *replay) applyFor(affected []*worker, event PatternEvent, apply func(target *worker, active bool)) {
	for _, target := range affected {
		apply(target, true)
		r.after(time.Duration(event.Duration), func() { apply(target, false) })
	}
}
