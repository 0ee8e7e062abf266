package simulation

import "time"

// trouble schedules what happens in a pattern.
func (r *replay) trouble(trouble PatternTrouble) {
	r.after(time.Duration(trouble.At), func() {
		struck := r.workers[:int(trouble.Share*float64(len(r.workers)))]
		switch trouble.Kind {
		case troubleBurst:
			r.burst = trouble.Factor
			r.after(time.Duration(trouble.For), func() { r.burst = 1 })
		case troubleForget:
			r.forget()
		case troubleJoin:
			joined := r.addWorkers(int(trouble.Share * float64(len(r.workers))))
			r.configure()
			r.slow(joined, trouble)
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

func (r *replay) slow(struck []*worker, trouble PatternTrouble) {
	r.strike(struck, trouble, func(one *worker, begins bool) {
		slow := 1.0
		if begins {
			slow = trouble.Factor
		}
		one.setSpeed(one.speed, slow)
	})
}

// strike applies a trouble to some back ends, and takes it back after its time.
func (r *replay) strike(struck []*worker, trouble PatternTrouble, apply func(one *worker, begins bool)) {
	for _, one := range struck {
		apply(one, true)
		r.after(time.Duration(trouble.For), func() { apply(one, false) })
	}
}
