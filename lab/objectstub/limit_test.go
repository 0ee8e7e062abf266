package objectstub_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/lab/objectstub"
)

// Guarantees for a back end that reports a limit.
const (
	// limitWindow is the window over which requests to a back end are counted.
	limitWindow = 4 * time.Second
	// limitKnownBound is the time after which all daemons know a limit. Broadcasts reach all peers
	// within a second; requests sent before may still arrive.
	limitKnownBound = time.Second
)

// maxInWindow is the maximum number of requests and probes in a window for a back end with a limit: its
// limit, and one more, as the window may start with one.
func maxInWindow(limit float64) int {
	return int(limit*limitWindow.Seconds()) + 1
}

// allArrivals returns the times of all requests and probes at the worker, in order.
func (w *worker) allArrivals() []time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	all := slices.Concat(w.arrivals, w.probes)
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// maxWindowCount returns the maximum number of requests and probes in a window between two times.
func (w *worker) maxWindowCount(from, until time.Time) int {
	arrivals := slices.DeleteFunc(w.allArrivals(), func(at time.Time) bool { return at.Before(from) || at.After(until) })
	peak := 0
	for first, last := 0, 0; last < len(arrivals); last++ {
		for arrivals[last].Sub(arrivals[first]) >= limitWindow {
			first++
		}
		peak = max(peak, last-first+1)
	}
	return peak
}

// setLimit makes workers report a limit.
func setLimit(limit string, workers ...*worker) {
	for _, worker := range workers {
		worker.update(func() { worker.limit = limit })
	}
}

// loadInterval is the mean interval between requests: 10 per second for each of eight back ends.
const loadInterval = 12500 * time.Microsecond

// useLongServiceTime gives all workers the service time of the users' workers, so that all of them are used.
func (f *fleet) useLongServiceTime() {
	for _, worker := range f.workers {
		worker.update(func() { worker.serviceTime = 90 * time.Millisecond })
	}
}

// randomLoad starts a load of requests to random daemons at random times, with this mean interval.
func (f *fleet) randomLoad(every time.Duration) *randomLoad {
	load := &randomLoad{fleet: f, every: every, random: rand.New(rand.NewPCG(7, 7))}
	load.resume()
	return load
}

// randomLoad is a load that can be paused.
type randomLoad struct {
	backgroundLoad
	fleet         *fleet
	every         time.Duration
	random        *rand.Rand
	number        int
	nonRepeatable atomic.Bool // requests are not repeatable
}

func (l *randomLoad) resume() {
	l.stop = make(chan struct{})
	l.running.Go(func() {
		for !l.fleet.closed.Load() { // a failed check closes the fleet
			select {
			case <-l.stop:
				return
			case <-time.After(time.Duration(l.random.ExpFloat64() * float64(l.every))):
			}
			l.number++
			kind := "safe"
			if l.nonRepeatable.Load() {
				kind = "unsafe"
			}
			target, path := l.random.IntN(len(l.fleet.daemons)), fmt.Sprintf("/one/%s/%d", kind, l.number)
			l.running.Go(func() { l.count(l.fleet.send(target, path)) })
		}
	})
}

// pausedWhile pauses the load while it calls action.
func (l *randomLoad) pausedWhile(action func()) {
	close(l.stop)
	l.running.Wait()
	action()
	l.resume()
}

// twoLimits are the limits of the first two workers.
var twoLimits = []float64{3.2, 0.8}

// limitTwoWorkers makes the first two workers report limits under a random load, and returns the load and the time
// from which they do.
func (f *fleet) limitTwoWorkers() (load *randomLoad, limitedSince time.Time) {
	f.useLongServiceTime()
	load = f.randomLoad(loadInterval)
	time.Sleep(5 * time.Second)
	limitedSince = time.Now()
	for number, limit := range twoLimits {
		setLimit(fmt.Sprint(limit), f.workers[number])
	}
	return load, limitedSince
}

// TestBackendsGetNoMoreThanTheirLimits guards against ignoring the limit of a back end. A back end that reported a
// limit of 2.5 requests per second for all daemons together with each response still got ten per second like the
// others, because no daemon read the limit, and fourteen probes per second from the dispatcher, which most often
// probes the back ends that it would choose next. Only the sum of requests and probes matched the counts of the back
// end. Each of four daemons received the limit within 1.5 s:
//
//	limits: back end takes fewer requests daemon=edge-1 backend=i-0 per_second=3.2 source="back end"
//	limits: back end takes fewer requests daemon=edge-3 backend=i-0 per_second=3.2 source="back end"
//
// The limit applies to the sum of all daemons: the dispatcher paces all requests and probes to the back end, and any
// daemon that receives the limit reports it to the dispatcher. With limits of 3.2 and 0.8 per second, the maximum in
// 4 s is 13 and 4 requests and probes; it was 94 and 88 while limits were ignored.
func TestBackendsGetNoMoreThanTheirLimits(t *testing.T) {
	run(t, 8, func(f *fleet) {
		load, limitedSince := f.limitTwoWorkers()
		time.Sleep(20 * time.Second)
		until := time.Now()
		answered := load.finish()
		for number, limit := range twoLimits {
			worker := f.workers[number]
			t.Logf("limit %.1f per second, at most %d requests and probes in 4 s, %d probes in total",
				limit, worker.maxWindowCount(limitedSince.Add(limitKnownBound), until), len(worker.probes))
		}
		f.requireLimit(f.workers[0], 3.2, limitedSince, until)
		f.requireLimit(f.workers[1], 0.8, limitedSince, until)
		require.Greater(t, answered, 0.99)
	})
}

// requireLimit checks that a worker got no more than its limit, and not much less.
func (f *fleet) requireLimit(worker *worker, limit float64, limitedSince, until time.Time) {
	f.requireWithinLimit(worker, limit, limitedSince, until)
	got := worker.maxWindowCount(limitedSince.Add(limitKnownBound), until)
	require.GreaterOrEqual(f.t, got, int(0.7*limit*limitWindow.Seconds()), "the limit of %s is used", worker.id)
}

// requireWithinLimit checks that a worker got no more requests and probes than its limit allows.
func (f *fleet) requireWithinLimit(worker *worker, limit float64, limitedSince, until time.Time) {
	got := worker.maxWindowCount(limitedSince.Add(limitKnownBound), until)
	require.LessOrEqual(f.t, got, maxInWindow(limit), "requests and probes at %s, with a limit of %.1f per second", worker.id, limit)
}

// TestLimitHoldsDuringDisruptions checks that limited back ends get no more than their limits during disruptions.
// Each daemon that chooses independently may send one request more than its share of a window, as the window may
// start with it.
func TestLimitHoldsDuringDisruptions(t *testing.T) {
	for _, test := range commonDisruptions {
		t.Run(test.name, func(t *testing.T) {
			run(t, 8, func(f *fleet) {
				load, limitedSince := f.limitTwoWorkers()
				time.Sleep(3 * time.Second)
				test.apply(f, load)
				time.Sleep(20*time.Second - time.Since(limitedSince))
				until := time.Now()
				t.Logf("%.3f answered", load.finish())
				for number, limit := range twoLimits {
					got := f.workers[number].maxWindowCount(limitedSince.Add(limitKnownBound), until)
					t.Logf("limit %.1f per second, at most %d in 4 s", limit, got)
					require.LessOrEqual(t, got, maxInWindow(limit)+max(test.independentDaemons-1, 0))
				}
			})
		})
	}
}

// TestRegionsShareALimit checks the limit of a back end that is used by daemons of two regions, each with its own
// dispatcher.
func TestRegionsShareALimit(t *testing.T) {
	runFleetWith(t, 6, 8, func(f *fleet) { f.regionCount = 2 }, func(f *fleet) {
		load, limitedSince := f.limitTwoWorkers()
		time.Sleep(20 * time.Second)
		until := time.Now()
		require.Greater(t, load.finish(), 0.99)
		for number, limit := range twoLimits {
			got := f.workers[number].maxWindowCount(limitedSince.Add(limitKnownBound), until)
			t.Logf("limit %.1f per second, at most %d in 4 s", limit, got)
			require.LessOrEqual(t, got, maxInWindow(limit)+1, "each region's window may start with one")
			require.GreaterOrEqual(t, got, int(0.6*limit*limitWindow.Seconds()))
		}
	})
}

// dispatcher returns the host of the dispatcher of the workers' service.
func (f *fleet) dispatcher() string {
	member, remote := f.daemons[0].DispatcherOf("board")
	if !remote {
		return hostOf(0)
	}
	return member.Name
}

// TestLoadAboveAllLimitsIsRefused checks that requests above the limits of all back ends are refused with
// Retry-After, and that requests within the limits are served.
func TestLoadAboveAllLimitsIsRefused(t *testing.T) {
	run(t, 8, func(f *fleet) {
		f.useLongServiceTime()
		load := f.randomLoad(loadInterval)
		time.Sleep(2 * time.Second)
		setLimit("2", f.workers...)
		time.Sleep(3 * time.Second)
		load.finish()
		const totalLimit, perSecond, seconds = 8 * 2, 80, 10
		var mutex sync.Mutex
		var running sync.WaitGroup
		answered, slowest, refused := 0, time.Duration(0), 0
		from := time.Now()
		for number := range perSecond * seconds {
			running.Go(func() {
				start := time.Now()
				got := f.send(number%daemons, "/one/safe/")
				took := time.Since(start)
				mutex.Lock()
				defer mutex.Unlock()
				if got.status == http.StatusOK {
					answered++
					return
				}
				refused++
				slowest = max(slowest, took)
				assert.Equal(t, http.StatusServiceUnavailable, got.status)
				assert.NotEmpty(t, got.header.Get("Retry-After"))
			})
			time.Sleep(time.Second / perSecond)
		}
		running.Wait()
		t.Logf("%d answered, %d refused, the slowest after %s", answered, refused, slowest)
		require.InDelta(t, totalLimit*seconds, answered, 0.25*totalLimit*seconds)
		for _, worker := range f.workers {
			f.requireWithinLimit(worker, 2, from, time.Now())
		}
	})
}

// TestBackendIsFullyUsedAfterLimitIsLifted checks that a back end is soon fully used again after it stops reporting a
// limit, with a gradual increase.
func TestBackendIsFullyUsedAfterLimitIsLifted(t *testing.T) {
	run(t, 8, func(f *fleet) {
		f.useLongServiceTime()
		load := f.randomLoad(loadInterval)
		defer load.finish()
		time.Sleep(2 * time.Second)
		setLimit("0.8", f.workers[0])
		time.Sleep(6 * time.Second)
		lifted := time.Now()
		setLimit("", f.workers[0])
		time.Sleep(10 * time.Second)
		all := f.workers[0].allArrivals()
		first := slices.IndexFunc(all, func(at time.Time) bool { return at.After(lifted) })
		within := func(from, length time.Duration) int {
			return len(slices.DeleteFunc(slices.Clone(all[first:]), func(at time.Time) bool {
				return at.Before(lifted.Add(from)) || at.After(lifted.Add(from+length))
			}))
		}
		t.Logf("requests and probes in the 1st second %d, 3rd %d, 10th %d", within(0, time.Second), within(2*time.Second, time.Second), within(9*time.Second, time.Second))
		require.Less(t, all[first].Sub(lifted), 1500*time.Millisecond)
		require.Greater(t, within(4*time.Second, time.Second), 5, "as many as at the other workers")
	})
}

// TestLimitEndsWithRestart checks that the limit of a back end does not apply after it has restarted with the same
// id.
func TestLimitEndsWithRestart(t *testing.T) {
	run(t, 8, func(f *fleet) {
		f.useLongServiceTime()
		load := f.randomLoad(loadInterval)
		defer load.finish()
		worker := f.workers[0]
		worker.startedAt = 1
		f.writeEntry(worker, "ready")
		time.Sleep(2 * time.Second)
		setLimit("0.8", worker)
		time.Sleep(4 * time.Second)
		setLimit("", worker)
		worker.startedAt = 2
		f.writeEntry(worker, "ready")
		time.Sleep(2 * time.Second)
		before := len(worker.allArrivals())
		time.Sleep(time.Second)
		require.Greater(t, len(worker.allArrivals())-before, 5)
	})
}

// TestInvalidLimitIsIgnored checks that an invalid limit is ignored, and that the last valid limit stays in force.
func TestInvalidLimitIsIgnored(t *testing.T) {
	run(t, 8, func(f *fleet) {
		f.useLongServiceTime()
		load := f.randomLoad(loadInterval)
		defer load.finish()
		setLimit("NaN", f.workers[0])
		setLimit("1.5", f.workers[1])
		time.Sleep(4 * time.Second)
		limitedSince := time.Now()
		setLimit("-1", f.workers[1])
		time.Sleep(8 * time.Second)
		require.Greater(t, f.workers[0].maxWindowCount(limitedSince, time.Now()), 20)
		f.requireWithinLimit(f.workers[1], 1.5, limitedSince, time.Now())
	})
}

// limitSeeds is the number of random schedules. The default takes a few seconds in CI; manual runs use more.
var limitSeeds = flag.Uint64("limit-seeds", 6, "number of random disruption schedules for back ends with limits")

// disruptionsPerSchedule is the number of disruptions in a random schedule.
const disruptionsPerSchedule = 6

// allowedInWindow is the maximum that the users allow in a window for a back end with a limit, during any
// disruption: one and a half times the limit, plus five.
func allowedInWindow(limit float64) int {
	return int(1.5*limit*limitWindow.Seconds()) + 5
}

// applyRandomDisruptions injects the disruptions of a random schedule.
func (f *fleet) applyRandomDisruptions(random *rand.Rand, load *randomLoad) {
	for range disruptionsPerSchedule {
		switch random.IntN(6) {
		case 0:
			load.pausedWhile(func() { f.replaceDaemon(random.IntN(len(f.daemons))) })
		case 1:
			host := f.dispatcher()
			f.net.SetFrozen(host, true)
			time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
			f.net.SetFrozen(host, false)
		case 2:
			f.store.SetFaults(objectstub.Faults{Down: true})
			time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
			f.store.SetFaults(objectstub.Faults{})
		case 3:
			isolated := f.daemons[random.IntN(len(f.daemons))].Addresses().Peer
			host := f.hostAt(isolated)
			f.net.SetPartitionRule(func(a, b string) bool {
				return (a == host || b == host) && strings.HasPrefix(a, "edge-") && strings.HasPrefix(b, "edge-")
			})
			time.Sleep(time.Duration(500+random.IntN(6000)) * time.Millisecond)
			f.net.SetPartitionRule(nil)
		case 4:
			worker := f.workers[2+random.IntN(len(f.workers)-2)]
			worker.update(func() { worker.rejects = true })
			time.Sleep(time.Second)
			worker.update(func() { worker.rejects = false })
		case 5:
			extra := f.randomLoad(5 * time.Millisecond)
			time.Sleep(2 * time.Second)
			extra.finish()
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
}

// hostAt returns the host with this address.
func (f *fleet) hostAt(address string) string {
	for number := range 100_000 {
		if host := hostOf(number); strings.Split(f.net.Address(host), ":")[0] == strings.Split(address, ":")[0] {
			return host
		}
	}
	return ""
}

// TestLimitHoldsDuringRandomDisruptions injects random disruptions with random limits, and checks that every back end
// stays within what the users allow in every window from 3 s after it first reported a limit.
func TestLimitHoldsDuringRandomDisruptions(t *testing.T) {
	for seed := range *limitSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runFleet(t, 6, 8, func(f *fleet) {
				random := rand.New(rand.NewPCG(seed, 9))
				f.useLongServiceTime()
				load := f.randomLoad(loadInterval)
				time.Sleep(3 * time.Second)
				limits := []float64{0.5 + 6*random.Float64(), 0.5 + 6*random.Float64()}
				limitedSince := time.Now()
				for number, limit := range limits {
					setLimit(fmt.Sprintf("%.2f", limit), f.workers[number])
				}
				time.Sleep(3 * time.Second)
				f.applyRandomDisruptions(random, load)
				until := time.Now()
				t.Logf("%.3f answered", load.finish())
				for number, limit := range limits {
					got := f.workers[number].maxWindowCount(limitedSince.Add(3*time.Second), until)
					t.Logf("limit %.2f per second, at most %d in 4 s, %d allowed, %d within the limit", limit, got, allowedInWindow(limit), maxInWindow(limit))
					require.LessOrEqual(t, got, allowedInWindow(limit))
				}
			})
		})
	}
}
