package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// job is one request at a back end.
type job struct {
	work    time.Duration // left, at full speed
	started time.Duration // when work was last reckoned
	version int           // of the finish event that counts
	done    func()
}

// worker is one back end with its noisy neighbour.
type worker struct {
	clock   *clock
	random  *rand.Rand
	id      string
	zone    int
	slots   int
	speed   float64 // of work now; 1 is full
	slow    float64 // standing slowness; 1: none
	queue   []*job
	running []*job
	// assigned counts requests that any daemon has sent here and that have not
	// been worked off, those on the wire included.
	assigned int
	busy     time.Duration // slot time taken, for the utilisation
	rejects  bool
	sheds    float64 // share of the requests that it refuses
	gone     bool    // it answers nothing any more
	served   int
	// knee is from how many running requests on all take kneeFactor times as long; 0: none.
	knee       int
	kneeFactor float64
	limit      int // requests that it queues before it refuses more; 0: no bound

	// While it is cold it falls over for as long when more than fallsOver requests come
	// within a second.
	coldUntil time.Duration
	coldFor   time.Duration
	fallsOver int
	arrivals  []time.Duration // of the last second, while it is cold
	fell      int             // how often it fell over
	emptied   time.Duration   // since when it is to get nothing; 0: it may
	intruders int             // requests that came all the same
	most      int             // that came within a second while it was cold
}

// cool makes it cold from now on.
func (w *worker) cool(lasts time.Duration, fallsOver int) {
	w.coldUntil, w.coldFor, w.fallsOver = w.clock.now+lasts, lasts, fallsOver
}

// underWay is how long a request may be on its way to a back end.
const underWay = 10 * time.Millisecond

// strain notes a request, which it may fall over by while it is cold.
func (w *worker) strain() {
	now := w.clock.now
	if w.emptied > 0 && now-w.emptied > underWay {
		w.intruders++
	}
	if now >= w.coldUntil {
		return
	}
	w.arrivals = slices.DeleteFunc(w.arrivals, func(at time.Duration) bool { return now-at >= time.Second })
	w.arrivals = append(w.arrivals, now)
	w.most = max(w.most, len(w.arrivals))
	if w.fallsOver > 0 && len(w.arrivals) > w.fallsOver && !w.gone {
		w.fell++
		w.gone = true
		w.clock.after(w.coldFor, func() { w.gone = false })
	}
}

func newWorker(c *clock, random *rand.Rand, id string, zone, slots int) *worker {
	return &worker{clock: c, random: random, id: id, zone: zone, slots: slots, speed: 1, slow: 1}
}

// arrive takes in a request that has come over the wire.
func (w *worker) arrive(work time.Duration, done func()) *job {
	one := &job{work: work, done: done}
	if len(w.running) < w.slots {
		w.start(one)
		return one
	}
	w.queue = append(w.queue, one)
	return one
}

// slowdown is how much longer work takes there now than usually, as it tells.
func (w *worker) slowdown() float64 {
	return 1 / w.rate()
}

func (w *worker) start(one *job) {
	w.change(func() {
		one.started = w.clock.now
		w.running = append(w.running, one)
	})
}

// refuses says whether it refuses a request that comes now.
func (w *worker) refuses() bool {
	full := w.limit > 0 && len(w.running) >= w.slots && len(w.queue) >= w.limit
	return w.rejects || full || (w.sheds > 0 && w.random.Float64() < w.sheds)
}

// cancel gives a job up, whose caller has left.
func (w *worker) cancel(one *job) {
	one.version++
	w.queue = slices.DeleteFunc(w.queue, func(other *job) bool { return other == one })
	if slices.Contains(w.running, one) {
		w.leave(one)
	}
}

// leave takes a job from its slot and gives that to the next one.
func (w *worker) leave(one *job) {
	w.change(func() {
		w.running = slices.DeleteFunc(w.running, func(other *job) bool { return other == one })
	})
	if len(w.queue) > 0 {
		next := w.queue[0]
		w.queue = w.queue[1:]
		w.start(next)
	}
}

// schedule sets the time at which a running job ends at the present speed.
func (w *worker) schedule(one *job) {
	one.version++
	version := one.version
	w.clock.after(time.Duration(float64(one.work)/w.rate()), func() {
		if one.version == version {
			w.finish(one)
		}
	})
}

func (w *worker) rate() float64 {
	rate := w.speed / w.slow
	if w.knee > 0 && len(w.running) >= w.knee {
		rate /= w.kneeFactor
	}
	return rate
}

func (w *worker) finish(one *job) {
	w.assigned--
	w.served++
	w.leave(one)
	one.done()
}

// inFlight is the load that the back end knows of itself.
func (w *worker) inFlight() int {
	return len(w.running) + len(w.queue)
}

// setSpeed changes the speed of all work, that under way included.
func (w *worker) setSpeed(speed, slow float64) {
	w.change(func() { w.speed, w.slow = speed, slow })
}

// change reckons what was worked until now, applies a change of the speed or of what
// runs, and goes on from there.
func (w *worker) change(apply func()) {
	rate := w.rate()
	for _, one := range w.running {
		passed := w.clock.now - one.started
		w.busy += passed
		one.work = max(one.work-time.Duration(float64(passed)*rate), 0)
		one.started = w.clock.now
	}
	apply()
	for _, one := range w.running {
		w.schedule(one)
	}
}

// disturb begins the neighbour's life.
func (w *worker) disturb(n Noise) {
	if n.Slowdown <= 1 {
		return
	}
	w.clock.after(w.spell(n.Quiet), func() {
		w.setSpeed(1/n.Slowdown, w.slow)
		w.clock.after(w.spell(n.Noisy), func() {
			w.setSpeed(1, w.slow)
			w.disturb(n)
		})
	})
}

func (w *worker) spell(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}
