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
	// crashPath begins the path of requests that end the back ends which run them.
	crashPath = "/safe/crash-"
	// crashEvery is how often such a request comes again, at any daemon.
	crashEvery = 150 * time.Millisecond
	// crashLength is how long it does.
	crashLength = 9 * time.Second
	// restartTime is how long an ended back end takes until it starts again, under the id that
	// it had.
	restartTime = 1200 * time.Millisecond
	// crashesTold is after how many endings all daemons must agree, agreement in which time, and
	// crashSends how often back ends may be reached after that.
	crashesTold = 3
	agreement   = 3 * time.Second
	crashSends  = 3
)

// crashing is what back ends saw of one request that ends them.
type crashing struct {
	endings []time.Time
	late    int // arrivals after all daemons could agree
}

// arrivedCrashing notes a request at a back end that it ends.
func (r *report) arrivedCrashing(path string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	one := r.crashing[path]
	if one == nil || len(one.endings) < crashesTold {
		return
	}
	since := time.Since(one.endings[crashesTold-1])
	if since <= agreement || r.calmFor() < since {
		return // not told to all yet, or a fault may have taken the memory of it
	}
	if one.late++; one.late > crashSends {
		r.violated("BUDGET: %s reached a back end %s after it had ended %d", path, since, crashesTold)
	}
}

// crashed notes that a back end has ended under a request.
func (r *report) crashed(path string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.crashing[path] == nil {
		r.crashing[path] = &crashing{}
	}
	r.crashing[path].endings = append(r.crashing[path].endings, time.Now())
	r.counts["back ends ended by a request"]++
}

// crash ends a back end under a request; it starts again under its id.
func (f *fleet) crash(one *worker, path string) {
	if !f.takeOut(one) {
		return // another request was faster
	}
	f.report.crashed(path)
	f.faults.Go(func() {
		one.end()
		time.Sleep(restartTime)
		if err := f.startAgain(one); err != nil {
			f.report.log("%s not started again: %v", one.id, err)
		}
	})
}

// takeOut takes a back end from those that run, and says whether it was one.
func (f *fleet) takeOut(one *worker) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for index, running := range f.workers {
		if running == one {
			f.workers = append(f.workers[:index:index], f.workers[index+1:]...)
			return true
		}
	}
	return false
}

// repeatCrashing sends a request that ends back ends for a while, each time under a new id and
// through another daemon.
func (c *callers) repeatCrashing(path string) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for end := time.Now().Add(crashLength); time.Now().Before(end); time.Sleep(crashEvery) {
		target := c.fleet.daemons[rand.IntN(len(c.fleet.daemons))]
		sending.Go(func() {
			id := c.nextID()
			c.fleet.report.sent(id, target.currentLife(), false)
			response, got, err := c.exchange(c.fresh, target, http.MethodGet, id, path)
			if err == nil {
				c.fleet.report.answered(id, path, response, got)
			}
		})
	}
}

func isCrashing(path string) bool {
	return strings.HasPrefix(path, crashPath)
}

// foreignEntries are entries of another writer: none names a back end to use.
var foreignEntries = []any{
	struct{}{}, 7, "bytes", []int{1},
	map[string]any{"address": "127.0.0.1:1", "info": map[string]any{"service": "board"}, "status": map[string]any{"state": "ready"}},
	map[string]any{"address": "127.0.0.1:1", "info": map[string]any{"service": "board", "version": "v1", "zone": "zone-a", "slots": 3}, "status": map[string]any{"state": "sleeping", "seq": 1, "warmupLeftS": 0}},
	map[string]any{"address": "127.0.0.1:1", "info": map[string]any{"service": "board", "version": "v1", "zone": "zone-a", "slots": -3}, "status": map[string]any{"state": "ready", "seq": 1, "warmupLeftS": 0}},
}

// writeForeign writes entries of another writer, and takes them away again.
func (f *fleet) writeForeign(length time.Duration) {
	name := func(number int) string { return fmt.Sprintf("foreign-%d", number) }
	for number, entry := range foreignEntries {
		f.store.Set("servers", name(number), entry)
	}
	time.Sleep(length)
	for number := range foreignEntries {
		f.store.Remove("servers", name(number))
	}
}
