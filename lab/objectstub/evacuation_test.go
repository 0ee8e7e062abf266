package objectstub_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/daemon"
	"github.com/tuliphall/tuliphall/lab/objectstub"
)

// Bounds of the time until an evacuated zone gets no new requests.
const (
	// evacuationBound is the maximum allowed by the users' platform.
	evacuationBound = 5 * time.Second
	// usualEvacuationTime is the maximum without other faults. Watchers get the change immediately unless they
	// pause after a recent one, and broadcast it.
	usualEvacuationTime = time.Second
	// reconnectTime is the time after a fault until daemons count as connected again.
	reconnectTime = 3 * time.Second
	// requestInterval is the interval between two requests.
	requestInterval = 4 * time.Millisecond
)

// assignZones assigns the first workers to a zone and the others to another one that is equally
// far from the daemons, and returns the first.
func (f *fleet) assignZones(count int, zone string) []*worker {
	for _, worker := range f.workers[:count] {
		worker.zone = zone
		f.writeEntry(worker, "ready")
	}
	for _, worker := range f.workers[count:] {
		worker.zone = "north"
		f.writeEntry(worker, "ready")
	}
	time.Sleep(2 * time.Second)
	return f.workers[:count]
}

// lastArrival returns the time of the last request at any of the workers.
func lastArrival(workers []*worker) time.Time {
	var last time.Time
	for _, worker := range workers {
		worker.update(func() {
			if len(worker.arrivals) > 0 && worker.arrivals[len(worker.arrivals)-1].After(last) {
				last = worker.arrivals[len(worker.arrivals)-1]
			}
		})
	}
	return last
}

// evacuationDisruption is a disruption during an evacuation.
type evacuationDisruption struct {
	name string
	// before runs right before the evacuation is written, and after right after its acknowledgement.
	before, after func(f *fleet)
	// pauseLoad: no requests are sent while after runs, because it kills daemons.
	pauseLoad bool
	// maxDelay is the maximum time after the acknowledgement at which requests reach the zone.
	maxDelay time.Duration
}

var evacuationDisruptions = []evacuationDisruption{
	{name: "no disruption", maxDelay: usualEvacuationTime},
	{name: "watches stall and history is compacted", maxDelay: evacuationBound,
		before: func(f *fleet) { f.store.SetFaults(objectstub.Faults{StallWatches: true}) },
		after: func(f *fleet) {
			time.Sleep(time.Second)
			f.store.Compact()
			f.store.SetFaults(objectstub.Faults{})
		}},
	{name: "the store is down after the acknowledgement", maxDelay: 4*time.Second + reconnectTime,
		before: func(f *fleet) { f.store.SetFaults(objectstub.Faults{StallWatches: true}) },
		after: func(f *fleet) {
			f.store.SetFaults(objectstub.Faults{Down: true})
			time.Sleep(4 * time.Second)
			f.store.SetFaults(objectstub.Faults{})
		}},
	{name: "all daemons are replaced", maxDelay: reconnectTime, pauseLoad: true, after: (*fleet).replaceAllDaemons},
	{name: "some watchers are powered off", maxDelay: evacuationBound,
		after: func(f *fleet) {
			watching := 0
			f.powerOff(func(d *daemon.Daemon, _ int) bool {
				watching++
				return d.Status(f.t.Context()).Watching && watching <= 2
			})
		}},
	{name: "a daemon joins", maxDelay: usualEvacuationTime,
		after: func(f *fleet) { f.start(100, f.storeAddress) }},
	{name: "the configuration changes in quick succession", maxDelay: evacuationBound,
		before: func(f *fleet) {
			for range 5 {
				f.configure("/one/")
				time.Sleep(100 * time.Millisecond)
			}
		}},
	{name: "another zone is evacuated and restored", maxDelay: usualEvacuationTime,
		before: func(f *fleet) { f.store.Set("evacuations", "east", struct{}{}) },
		after:  func(f *fleet) { f.store.Remove("evacuations", "east") }},
}

// TestEvacuatedZoneGetsNoRequests evacuates a zone under load through every daemon and during disruptions: no request
// reaches its workers after the bound, the other workers serve all requests, and the zone is used again once it is
// restored.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	for _, disruption := range evacuationDisruptions {
		t.Run(disruption.name, func(t *testing.T) {
			runFleet(t, 12, 6, func(f *fleet) { disruption.run(f) })
		})
	}
}

func (e evacuationDisruption) run(f *fleet) {
	evacuated := f.assignZones(3, "west")
	for _, worker := range f.workers {
		worker.update(func() { worker.serviceTime = 30 * time.Millisecond })
	}
	stopLoad := f.sendPeriodically(requestInterval)
	defer func() { stopLoad() }()
	time.Sleep(time.Second)
	if e.before != nil {
		e.before(f)
	}
	require.Less(f.t, time.Since(lastArrival(evacuated)), time.Second, "the zone is in use")
	f.store.Set("evacuations", "west", struct{}{})
	acknowledged := time.Now()
	if e.pauseLoad {
		stopLoad()
		time.Sleep(time.Second) // until the daemons have logged the outcomes
		acknowledged = time.Now()
	}
	if e.after != nil {
		e.after(f)
	}
	if e.pauseLoad {
		stopLoad = f.sendPeriodically(requestInterval)
	}
	time.Sleep(2 * evacuationBound)
	took := lastArrival(evacuated).Sub(acknowledged)
	f.t.Log("last request after", took)
	require.Less(f.t, took, e.maxDelay)
	f.store.Remove("evacuations", "west")
	time.Sleep(evacuationBound)
	require.Less(f.t, time.Since(lastArrival(evacuated)), time.Second, "the zone is in use again")
}

// TestRequestsAreRefusedWhileAllZonesAreEvacuated checks that requests are refused immediately with Retry-After while
// all zones are evacuated, and served as soon as a zone is restored.
func TestRequestsAreRefusedWhileAllZonesAreEvacuated(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.store.Set("evacuations", "zone", struct{}{})
		time.Sleep(usualEvacuationTime)
		runsBefore := f.workers[0].total() + f.workers[1].total() + f.workers[2].total()
		start := time.Now()
		got := f.send(1, "/one/unsafe/")
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Less(t, time.Since(start), 50*time.Millisecond)
		require.Equal(t, runsBefore, f.workers[0].total()+f.workers[1].total()+f.workers[2].total())
		f.store.Remove("evacuations", "zone")
		time.Sleep(usualEvacuationTime)
		require.Equal(t, http.StatusOK, f.send(1, "/one/unsafe/").status)
	})
}

// TestEvacuationDoesNotInterruptRequests checks that an evacuation does not interrupt a running request.
func TestEvacuationDoesNotInterruptRequests(t *testing.T) {
	run(t, 1, func(f *fleet) {
		f.workers[0].update(func() { f.workers[0].serviceTime = 800 * time.Millisecond })
		got := make(chan answer)
		go func() { got <- f.send(2, "/one/unsafe/") }()
		time.Sleep(100 * time.Millisecond)
		f.store.Set("evacuations", "zone", struct{}{})
		require.Equal(t, http.StatusOK, (<-got).status)
	})
}

// TestStoreCallsForEvacuations counts the calls to the store for evacuations: only watchers list them, and they renew
// this watch half as often as the watch of the configuration, with a bound of two thirds.
func TestStoreCallsForEvacuations(t *testing.T) {
	runFleet(t, 12, 1, func(f *fleet) {
		const period = 30 * time.Second
		time.Sleep(10 * time.Second)
		require.Equal(t, watchers, f.store.ListCalls("evacuations"), "only watchers list them, once each")
		before, configBefore := f.store.WatchCalls("evacuations"), f.store.WatchCalls("config")
		time.Sleep(period)
		watches, configuration := f.store.WatchCalls("evacuations")-before, f.store.WatchCalls("config")-configBefore
		t.Log("watches in", period, "evacuations", watches, "configuration", configuration)
		require.LessOrEqual(t, 3*watches, 2*configuration)
	})
}

// busiestSecond returns the maximum number of requests that reached a worker within a second
// from a time on.
func (w *worker) busiestSecond(from time.Time) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	first, peak := 0, 0
	for last, at := range w.arrivals {
		for w.arrivals[first].Before(from) && first < last || at.Sub(w.arrivals[first]) >= time.Second {
			first++
		}
		if !at.Before(from) {
			peak = max(peak, last-first+1)
		}
	}
	return peak
}

// Warm-up of the cold workers in these tests.
const (
	warmUpDuration = 3 * time.Second
	warmUpRate     = 2.5 // requests per second that a cold worker can serve
	// maxColdArrivals is the maximum number of requests within a second for a cold worker, as the users' platform
	// counts them.
	maxColdArrivals = 1.5*warmUpRate + 8
)

// sendAtRate sends requests through all daemons at a constant rate for a time.
func (f *fleet) sendAtRate(perSecond int, duration time.Duration) {
	var sending sync.WaitGroup
	for number := range int(duration.Seconds() * float64(perSecond)) {
		sending.Go(func() { f.send(number%len(f.daemons), "/one/safe/") })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	sending.Wait()
}

// TestWarmUpRateAfterZoneIsRestored restores a zone under peak load, whose workers may be cold: each worker gets
// no more than its warm-up rate, and its full share once it is warm.
func TestWarmUpRateAfterZoneIsRestored(t *testing.T) {
	run(t, 6, func(f *fleet) {
		f.configureWarmUp()
		cold := f.assignZones(3, "west")
		f.sendAtRate(200, 2*time.Second)
		f.store.Set("evacuations", "west", struct{}{})
		f.sendAtRate(200, 2*time.Second)
		f.store.Remove("evacuations", "west")
		restoredAt := time.Now()
		f.sendAtRate(200, warmUpDuration-500*time.Millisecond)
		f.requireWarmUpRate(cold, restoredAt)
		f.sendAtRate(400, 3*time.Second) // more than the other workers can run
		for _, worker := range cold {
			require.Greater(t, float64(worker.busiestSecond(time.Now().Add(-time.Second))), warmUpRate+1, "a warm worker gets its full share")
		}
	})
}

// configureWarmUp configures the warm-up of cold workers.
func (f *fleet) configureWarmUp() {
	f.service["warmupS"], f.service["warmupPerS"] = warmUpDuration.Seconds(), warmUpRate
	f.configure("/one/")
	time.Sleep(time.Second)
}

// requireWarmUpRate checks that no worker got more than the warm-up rate, with one dispatcher.
func (f *fleet) requireWarmUpRate(cold []*worker, from time.Time) {
	peak := 0
	for _, worker := range cold {
		peak = max(peak, worker.busiestSecond(from))
	}
	f.t.Logf("busiest second of a cold worker: %d requests, warm-up rate %.1f", peak, warmUpRate)
	require.LessOrEqual(f.t, float64(peak), warmUpRate+1, "requests are evenly spaced at the warm-up rate")
}

// TestWarmUpRateOfNewWorkers adds as many cold workers as there are warm ones under load: each gets no more than
// its warm-up rate.
func TestWarmUpRateOfNewWorkers(t *testing.T) {
	run(t, 6, func(f *fleet) {
		f.configureWarmUp()
		for _, worker := range f.workers[:3] {
			f.store.Remove("servers", worker.id)
		}
		time.Sleep(time.Second)
		for _, worker := range f.workers[:3] {
			worker.warmUpLeft = warmUpDuration
			f.writeEntry(worker, "ready")
		}
		joined := time.Now()
		f.sendAtRate(300, warmUpDuration-500*time.Millisecond)
		f.requireWarmUpRate(f.workers[:3], joined)
	})
}

// TestWarmUpRateWithoutDispatcher powers the dispatcher off while every worker is cold: the daemons, which choose
// independently meanwhile, stay within the bound together.
func TestWarmUpRateWithoutDispatcher(t *testing.T) {
	runFleet(t, 20, 4, func(f *fleet) {
		f.configureWarmUp()
		for _, worker := range f.workers {
			worker.warmUpLeft = warmUpDuration
			f.writeEntry(worker, "ready")
		}
		time.Sleep(300 * time.Millisecond)
		start := time.Now()
		dispatcher, remote := f.daemons[0].DispatcherOf("board")
		f.powerOff(func(d *daemon.Daemon, number int) bool {
			return remote && hostOf(number) == dispatcher.Name || !remote && number == 0
		})
		f.sendAtRate(400, warmUpDuration-500*time.Millisecond)
		for _, worker := range f.workers {
			require.LessOrEqual(t, float64(worker.busiestSecond(start)), maxColdArrivals)
		}
	})
}

// TestSplitSharesWhileOneServiceRejects checks that a split route keeps its shares while the workers of one service
// reject all requests: these requests are refused, and not sent to the other service.
func TestSplitSharesWhileOneServiceRejects(t *testing.T) {
	run(t, 4, func(f *fleet) {
		for _, worker := range f.workers[2:] {
			worker.service = "second"
			f.writeEntry(worker, "ready")
			worker.update(func() { worker.rejects = true })
		}
		f.split = map[string]int{"board": 50, "second": 50}
		f.configure("/split/")
		time.Sleep(time.Second)
		const requests = 400
		statuses := map[int]int{}
		for number := range requests {
			statuses[f.send(number%daemons, "/split/safe/").status]++
		}
		first := f.workers[0].total() + f.workers[1].total()
		require.InDelta(t, 0.5, float64(first)/requests, 0.05)
		require.Equal(t, requests-first, statuses[http.StatusServiceUnavailable])
	})
}

// TestBusiestSecond checks busiestSecond, on which the tests of cold workers rely.
func TestBusiestSecond(t *testing.T) {
	worker := &worker{}
	start := time.Now()
	for _, after := range []time.Duration{0, 100, 200, 1300, 1400, 1500, 1600, 3000} {
		worker.arrivals = append(worker.arrivals, start.Add(after*time.Millisecond))
	}
	require.True(t, slices.IsSortedFunc(worker.arrivals, time.Time.Compare))
	require.Equal(t, 4, worker.busiestSecond(start))
	require.Equal(t, 1, worker.busiestSecond(start.Add(2*time.Second)))
}
