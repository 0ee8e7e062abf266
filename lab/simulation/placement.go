package simulation

import (
	"time"

	"github.com/tuliphall/tuliphall/recent"
	"github.com/tuliphall/tuliphall/routing"
)

// Placement says who chooses the back ends in a replay, and by which information.
type Placement int

// The placements. Those other than PlacementOwn show what better information or a better use of it
// would gain.
const (
	// PlacementOwn is the placement of package routing, by the reports that the dispatcher gets.
	PlacementOwn Placement = iota
	// PlacementOwnCurrent is the same by reports of the present.
	PlacementOwnCurrent
	// PlacementModelAged chooses by the parameters of the pattern's disturbances, by reports as old as ours.
	PlacementModelAged
	// PlacementModelCurrent is the same by the state of all back ends at the time of the choice: the
	// limit for any placement that does not know the future.
	PlacementModelCurrent
	// PlacementOwnAnyZone is PlacementOwn with the same price for all zones.
	PlacementOwnAnyZone
)

// String returns the name of the placement for test logs.
func (p Placement) String() string {
	return [...]string{"ours", "ours, present known", "model, information as old as ours", "model, present known", "ours, no price for other zones"}[p]
}

// usesPresent reports whether the placement knows the state of all back ends.
func (p Placement) usesPresent() bool {
	return p == PlacementOwnCurrent || p == PlacementModelCurrent
}

// picker returns the picker of the placement.
func (r *replay) picker() routing.Picker {
	if r.pattern.Placement == PlacementModelAged || r.pattern.Placement == PlacementModelCurrent {
		return modelPicker{replay: r}
	}
	return routing.LeastLoad{}
}

// learnPresent gives the dispatcher reports of the present, if its placement knows it.
func (r *replay) learnPresent() {
	if !r.pattern.Placement.usesPresent() {
		return
	}
	for _, backend := range r.workers {
		if state := r.core.Group.State(backend.id); state != nil && !backend.exited {
			r.known.record(backend, backend.speed, r.clock.now)
			r.core.RecordReport(r.time(), state, backend.report())
		}
	}
}

// knownSpeed is what was last reported of a back end's neighbour.
type knownSpeed struct {
	speed float64
	at    time.Duration
}

// knownSpeeds holds the last reports by worker.
type knownSpeeds map[*worker]knownSpeed

// record records a report that was made at a time.
func (k knownSpeeds) record(of *worker, speed float64, at time.Duration) {
	if last, known := k[of]; !known || last.at <= at {
		k[of] = knownSpeed{speed: speed, at: at}
	}
}

// noiseModel holds the expected time of a request by the state of the neighbour at its start. The
// neighbour's periods are exponentially distributed, so that the state is all that matters.
type noiseModel struct {
	noisyShare float64       // of the time
	memory     time.Duration // after which a report has the weight 1/e
	quiet      time.Duration // expected time of a request that starts in a quiet period
	noisy      time.Duration // of one that starts in a noisy period
}

// newNoiseModel returns the model for requests that take work at full speed. It integrates
//
//	dQ/dw = 1 + (N-Q)/quiet,  dN/dw = s + s(Q-N)/noisy
//
// where Q and N are the times for work w and s is the slowdown in a noisy period.
func newNoiseModel(n Noise, work time.Duration) noiseModel {
	if n.Slowdown <= 1 {
		return noiseModel{quiet: work, noisy: work, memory: time.Second}
	}
	const steps = 2000
	step := work.Seconds() / steps
	var quiet, noisy float64
	for range steps {
		quiet, noisy = quiet+step*(1+(noisy-quiet)/n.Quiet.Seconds()), noisy+step*n.Slowdown*(1+(quiet-noisy)/n.Noisy.Seconds())
	}
	return noiseModel{
		noisyShare: n.Noisy.Seconds() / (n.Noisy + n.Quiet).Seconds(),
		memory:     time.Duration(float64(time.Second) / (1/n.Noisy.Seconds() + 1/n.Quiet.Seconds())),
		quiet:      time.Duration(quiet * float64(time.Second)), noisy: time.Duration(noisy * float64(time.Second)),
	}
}

// modelPicker chooses the back end at which a request, and those that it slows down there, take the
// least time by the model of the disturbances. What is in flight is known to the dispatcher.
type modelPicker struct {
	replay *replay
}

// Pick implements routing.Picker.
func (p modelPicker) Pick(info routing.PickInfo) int {
	r := p.replay
	return routing.LowestScore(info, func(candidate *routing.BackendState, _ float64) float64 {
		target := r.byID[candidate.ID]
		duration := r.noise.expected(r.known[target], r.clock.now).Seconds() * target.slowFactor
		inFlight := candidate.InFlight + 1
		cost := duration
		if knee := target.knee; knee > 0 && inFlight >= knee {
			cost *= target.kneeFactor
			if inFlight == knee {
				// The others there have half of their time left, on average.
				cost += duration * (target.kneeFactor - 1) * float64(inFlight-1) / 2
			}
		}
		if waiting := inFlight - target.slots; waiting > 0 {
			cost += duration * float64(waiting) / float64(target.slots)
		}
		if info.Origin.Zone() != r.pattern.Zones.name(target.zone) {
			cost += 2 * time.Duration(r.pattern.Zones.Delay).Seconds()
		}
		return cost
	})
}

// expected returns the expected time of a request that starts at a back end now.
func (m noiseModel) expected(last knownSpeed, now time.Duration) time.Duration {
	noisy := m.noisyShare
	if last.speed > 0 {
		reported := 0.0
		if last.speed < 1 {
			reported = 1
		}
		noisy += (reported - m.noisyShare) * recent.Decay(now-last.at, m.memory)
	}
	return m.quiet + time.Duration(noisy*float64(m.noisy-m.quiet))
}
