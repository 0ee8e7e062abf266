package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashPath is the path prefix of requests that crash the back end which runs them.
	crashPath = "/safe/crash-"
	// crashInterval is the time between two sends of such a request, each to a random daemon.
	crashInterval = 150 * time.Millisecond
	// crashDuration is how long such a request is sent again.
	crashDuration = 9 * time.Second
	// workerRestartDelay is the time from the crash of a back end to its restart under the same id.
	workerRestartDelay = 1200 * time.Millisecond
	// crashThreshold is the number of crashes after which all daemons must quarantine a request,
	// crashPropagationTime the time that they have for it, and maxArrivalsAfterCrashes how many
	// sends may still reach back ends after that.
	crashThreshold          = 3
	crashPropagationTime    = 3 * time.Second
	maxArrivalsAfterCrashes = 3
)

// crashRecord holds what back ends observed of one request that crashes them.
type crashRecord struct {
	crashTimes   []time.Time
	lateArrivals int // arrivals after crashPropagationTime
}

// recordCrashingArrival records the arrival of a request that crashes back ends. It adds a violation
// if too many arrive after all daemons should have quarantined the request.
func (r *report) recordCrashingArrival(path string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record := r.crashes[path]
	if record == nil || len(record.crashTimes) < crashThreshold {
		return
	}
	since := time.Since(record.crashTimes[crashThreshold-1])
	if since <= crashPropagationTime || r.faultFreeFor() < since {
		return // not yet known to all daemons, or a fault may have erased their records
	}
	if record.lateArrivals++; record.lateArrivals > maxArrivalsAfterCrashes {
		r.addViolation("BUDGET: %s reached a back end %s after it had crashed %d back ends", path, since, crashThreshold)
	}
}

// recordCrash records that a request has crashed a back end.
func (r *report) recordCrash(path string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.crashes[path] == nil {
		r.crashes[path] = &crashRecord{}
	}
	r.crashes[path].crashTimes = append(r.crashes[path].crashTimes, time.Now())
	r.counts["back ends ended by a request"]++
}

// crash ends a back end while it runs a request, and restarts it under the same id.
func (f *fleet) crash(crashed *worker, path string) {
	if !f.removeCrashed(crashed) {
		return // another request has already crashed it
	}
	f.report.recordCrash(path)
	f.runningFaults.Go(func() {
		crashed.close()
		time.Sleep(workerRestartDelay)
		if err := f.restartWorker(crashed); err != nil {
			f.report.log("restart of back end %s failed: %v", crashed.id, err)
		}
	})
}

// removeCrashed removes a back end from the running ones, and reports whether it was among them.
func (f *fleet) removeCrashed(crashed *worker) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for index, running := range f.workers {
		if running == crashed {
			f.workers = append(f.workers[:index:index], f.workers[index+1:]...)
			return true
		}
	}
	return false
}

// repeatCrashing sends a request that crashes back ends again and again for crashDuration, each time
// under a new id and through a random daemon.
func (c *callers) repeatCrashing(path string) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for end := time.Now().Add(crashDuration); time.Now().Before(end); time.Sleep(crashInterval) {
		target := c.fleet.daemons[rand.IntN(len(c.fleet.daemons))]
		inFlight.Go(func() {
			id := c.nextID()
			c.fleet.report.recordSent(id, target.incarnationName(), false)
			response, responseBody, err := c.exchange(c.singleUseClient, target, http.MethodGet, id, path)
			if err == nil {
				c.fleet.report.recordResponse(id, path, response, responseBody)
			}
		})
	}
}

func isCrashing(path string) bool {
	return strings.HasPrefix(path, crashPath)
}

// foreignEntries are entries that another program writes into the list of back ends. None describes a
// usable back end.
var foreignEntries = []any{
	struct{}{}, 7, "bytes", []int{1},
	map[string]any{"address": "127.0.0.1:1", "info": map[string]any{"service": "board"}, "status": map[string]any{"state": "ready"}},
	map[string]any{"address": "127.0.0.1:1", "info": map[string]any{"service": "board", "version": "v1", "zone": "zone-a", "slots": 3}, "status": map[string]any{"state": "sleeping", "seq": 1, "warmupLeftS": 0}},
	map[string]any{"address": "127.0.0.1:1", "info": map[string]any{"service": "board", "version": "v1", "zone": "zone-a", "slots": -3}, "status": map[string]any{"state": "ready", "seq": 1, "warmupLeftS": 0}},
}

// writeForeignEntries writes foreignEntries to the store, and removes them after the given duration.
func (f *fleet) writeForeignEntries(duration time.Duration) {
	name := func(number int) string { return fmt.Sprintf("foreign-%d", number) }
	for number, entry := range foreignEntries {
		f.store.Set("servers", name(number), entry)
	}
	time.Sleep(duration)
	for number := range foreignEntries {
		f.store.Remove("servers", name(number))
	}
}
