package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// job is one request at a back end.
type job struct {
	work       time.Duration // remaining service time at full speed
	updatedAt  time.Duration // when work was last updated
	generation int           // of the valid finish event; older ones are ignored
	done       func()
	onExit     func() // called when the back end exits while it holds the job; nil: not called
}

// worker is one back end with its noisy neighbour.
type worker struct {
	clock      *clock
	random     *rand.Rand
	id         string
	zone       int
	slots      int
	speed      float64 // under the neighbour's noise; 1: full speed
	slowFactor float64 // factor on service times from a fault; 1: none
	queue      []*job
	running    []*job
	// assigned counts the unfinished requests that daemons have sent here, those on
	// their way included.
	assigned    int
	busyTime    time.Duration // sum over the slots, for the utilisation
	rejectsAll  bool
	rejectShare float64 // share of the requests that it rejects
	unavailable bool    // requests fail without being run
	served      int
	// With knee or more requests running, all take kneeFactor times as long; 0: never.
	knee       int
	kneeFactor float64
	queueLimit int // requests that it queues before it rejects more; 0: no limit

	// While cold, the back end fails for coldDuration when more than
	// coldFailureThreshold requests arrive within a second.
	coldUntil            time.Duration
	coldDuration         time.Duration
	coldFailureThreshold int
	arrivals             []time.Duration // of the last second, while cold
	coldFailures         int             // how often it failed while cold
	evacuatedAt          time.Duration   // since when it should get no requests; 0: not evacuated
	evacuatedArrivals    int             // requests that arrived while evacuated
	peakColdArrivals     int             // most requests within a second while cold

	exited              bool          // nothing listens at its address
	run                 int           // how often its process has started again
	returnedAt          time.Duration // when it last did; 0: never
	firstSecondArrivals int           // requests that arrived in the second after that
	peakFirstSecond     int           // the most of them after any start
}

// startCold makes the back end cold from now on.
func (w *worker) startCold(duration time.Duration, failureThreshold int) {
	w.coldUntil, w.coldDuration, w.coldFailureThreshold = w.clock.now+duration, duration, failureThreshold
}

// maxDeliveryTime bounds how long a request takes to a back end. Requests that arrive
// within it after an evacuation were sent before.
const maxDeliveryTime = 10 * time.Millisecond

// recordArrival counts a request at an evacuated or cold back end. A cold back end fails
// if the request is one too many.
func (w *worker) recordArrival() {
	now := w.clock.now
	if w.evacuatedAt > 0 && now-w.evacuatedAt > maxDeliveryTime {
		w.evacuatedArrivals++
	}
	if w.returnedAt > 0 && !w.exited && now-w.returnedAt < time.Second {
		w.firstSecondArrivals++
		w.peakFirstSecond = max(w.peakFirstSecond, w.firstSecondArrivals)
	}
	if now >= w.coldUntil {
		return
	}
	w.arrivals = slices.DeleteFunc(w.arrivals, func(at time.Duration) bool { return now-at >= time.Second })
	w.arrivals = append(w.arrivals, now)
	w.peakColdArrivals = max(w.peakColdArrivals, len(w.arrivals))
	if w.coldFailureThreshold > 0 && len(w.arrivals) > w.coldFailureThreshold && !w.unavailable {
		w.coldFailures++
		w.unavailable = true
		w.clock.after(w.coldDuration, func() { w.unavailable = false })
	}
}

func newWorker(c *clock, random *rand.Rand, id string, zone, slots int) *worker {
	return &worker{clock: c, random: random, id: id, zone: zone, slots: slots, speed: 1, slowFactor: 1}
}

// arrive starts or queues a request that has arrived.
func (w *worker) arrive(work time.Duration, done func()) *job {
	added := &job{work: work, done: done}
	if len(w.running) < w.slots {
		w.start(added)
		return added
	}
	w.queue = append(w.queue, added)
	return added
}

// slowdown returns how many times as long as usual requests take now, as the back end
// reports it.
func (w *worker) slowdown() float64 {
	return 1 / w.workRate()
}

func (w *worker) start(added *job) {
	w.updateRate(func() {
		added.updatedAt = w.clock.now
		w.running = append(w.running, added)
	})
}

// rejectsNext reports whether a request that arrives now is rejected.
func (w *worker) rejectsNext() bool {
	full := w.queueLimit > 0 && len(w.running) >= w.slots && len(w.queue) >= w.queueLimit
	return w.rejectsAll || full || (w.rejectShare > 0 && w.random.Float64() < w.rejectShare)
}

// cancel aborts a job whose response is no longer needed.
func (w *worker) cancel(target *job) {
	target.generation++
	w.queue = slices.DeleteFunc(w.queue, func(other *job) bool { return other == target })
	if slices.Contains(w.running, target) {
		w.releaseSlot(target)
	}
}

// releaseSlot removes a job from its slot and starts the next one in the queue.
func (w *worker) releaseSlot(target *job) {
	w.updateRate(func() {
		w.running = slices.DeleteFunc(w.running, func(other *job) bool { return other == target })
	})
	if len(w.queue) > 0 {
		next := w.queue[0]
		w.queue = w.queue[1:]
		w.start(next)
	}
}

// schedule schedules the end of a running job at the current speed.
func (w *worker) schedule(target *job) {
	target.generation++
	generation := target.generation
	w.clock.after(time.Duration(float64(target.work)/w.workRate()), func() {
		if target.generation == generation {
			w.finish(target)
		}
	})
}

// workRate returns the current speed, as a share of full speed.
func (w *worker) workRate() float64 {
	rate := w.speed / w.slowFactor
	if w.knee > 0 && len(w.running) >= w.knee {
		rate /= w.kneeFactor
	}
	return rate
}

func (w *worker) finish(target *job) {
	w.assigned--
	w.served++
	w.releaseSlot(target)
	target.done()
}

// inFlight returns the load that the back end reports.
func (w *worker) inFlight() int {
	return len(w.running) + len(w.queue)
}

// setSpeed changes the speed of all work, the requests in service included.
func (w *worker) setSpeed(speed, slowFactor float64) {
	w.updateRate(func() { w.speed, w.slowFactor = speed, slowFactor })
}

// updateRate subtracts the work done so far at the old rate, applies a change of the speed
// or of the running jobs, and reschedules all running jobs at the new rate.
func (w *worker) updateRate(apply func()) {
	rate := w.workRate()
	for _, running := range w.running {
		elapsed := w.clock.now - running.updatedAt
		w.busyTime += elapsed
		running.work = max(running.work-time.Duration(float64(elapsed)*rate), 0)
		running.updatedAt = w.clock.now
	}
	apply()
	for _, running := range w.running {
		w.schedule(running)
	}
}

// startNoise schedules the neighbour's noisy and quiet periods.
func (w *worker) startNoise(n Noise) {
	if n.Slowdown <= 1 {
		return
	}
	w.clock.after(w.randomSpell(n.Quiet), func() {
		w.setSpeed(1/n.Slowdown, w.slowFactor)
		w.clock.after(w.randomSpell(n.Noisy), func() {
			w.setSpeed(1, w.slowFactor)
			w.startNoise(n)
		})
	})
}

// randomSpell draws an exponentially distributed duration.
func (w *worker) randomSpell(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}
