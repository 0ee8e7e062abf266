package simulation

import "time"

// trouble schedules what happens in a pattern.
func (r *replay) trouble(trouble PatternEvent) {
	r.after(time.Duration(trouble.At), func() {
		struck := r.workers[:int(trouble.Share*float64(len(r.workers)))]
		switch trouble.Kind {
		case troubleBurst:
			r.burst = trouble.Factor
			r.after(time.Duration(trouble.Duration), func() { r.burst = 1 })
		case troubleForget:
			r.forget()
		case troubleJoin:
			joined := r.addWorkers(int(trouble.Share * float64(len(r.workers))))
			r.cool(joined)
			r.configure()
			r.slow(joined, trouble)
		case troubleEvacuate:
			r.evacuate(struck, trouble)
		case troubleSlow:
			r.slow(struck, trouble)
		case troubleShed:
			r.strike(struck, trouble, func(one *worker, begins bool) {
				one.sheds = 0
				if begins {
					one.sheds = trouble.Factor
				}
			})
		case troubleGone:
			r.strike(struck, trouble, func(one *worker, begins bool) { one.gone = begins })
		}
		r.serve()
	})
}

// evacuate empties back ends for a while; then they are cold.
func (r *replay) evacuate(struck []*worker, trouble PatternEvent) {
	r.strike(struck, trouble, func(one *worker, begins bool) {
		r.core.Group.SetDraining(r.time(), one.id, begins)
		one.emptied = 0
		if begins {
			one.emptied = r.clock.now
		}
	})
	warmUp := r.pattern.Backends.WarmUp
	r.after(time.Duration(trouble.Duration), func() {
		r.cool(struck)
		r.slow(struck, PatternEvent{Duration: warmUp, Factor: trouble.Factor})
	})
}

// cool makes back ends cold, as far as the pattern has cold ones.
func (r *replay) cool(struck []*worker) {
	for _, one := range struck {
		one.cool(time.Duration(r.pattern.Backends.WarmUp), r.pattern.Backends.ColdFailureThreshold)
	}
}

func (r *replay) slow(struck []*worker, trouble PatternEvent) {
	r.strike(struck, trouble, func(one *worker, begins bool) {
		slow := 1.0
		if begins {
			slow = trouble.Factor
		}
		one.setSpeed(one.speed, slow)
	})
}

// strike applies a trouble to some back ends, and takes it back after its time.
func (r *replay) strike(struck []*worker, trouble PatternEvent, apply func(one *worker, begins bool)) {
	for _, one := range struck {
		apply(one, true)
		r.after(time.Duration(trouble.Duration), func() { apply(one, false) })
	}
}
