package objectstub_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/lab/objectstub"
)

// rolloutDuration is the ordered duration of a rollout.
const rolloutDuration = 14 * time.Second

// startRollout writes the order to roll the service out to version v2.
func (f *fleet) startRollout() {
	f.store.Set("rollouts", "board", map[string]any{"service": "board", "targetVersion": "v2", "durationS": rolloutDuration.Seconds()})
}

// startNewVersion starts as many workers of version v2 as there are workers, and starts the
// rollout to it.
func (f *fleet) startNewVersion(fails func(r *http.Request) bool) []*worker {
	f.startRollout()
	var workers []*worker
	for number := range f.workers {
		worker := &worker{
			id: fmt.Sprintf("n-%d", number), zone: "zone", service: "board", version: "v2", fails: fails, runs: make(map[string]int), serviceTime: 20 * time.Millisecond,
		}
		worker.instance = worker.id
		worker.address = f.serve(worker.id, worker)
		workers = append(workers, worker)
		f.writeEntry(worker, "ready")
	}
	return workers
}

// rolloutState returns the state of the rollout that the daemons have written to the store.
func (f *fleet) rolloutState() string {
	var status struct {
		State   string `json:"state"`
		Version string `json:"targetVersion"`
	}
	if text := f.store.Status("rollouts", "board"); text != nil {
		require.NoError(f.t, json.Unmarshal(text, &status))
		require.Equal(f.t, "v2", status.Version)
	}
	return status.State
}

// startSteadyLoad sends requests through all daemons until stop is called, which returns the number sent.
func (f *fleet) startSteadyLoad(perSecond int) (stop func() int) {
	var stopped atomic.Bool
	var running sync.WaitGroup
	var sent atomic.Int64
	running.Go(func() {
		for number := 0; !stopped.Load(); number++ {
			time.Sleep(time.Second / time.Duration(perSecond))
			path := []string{"/one/safe/", "/one/unsafe/"}[number%2]
			sent.Add(1)
			running.Go(func() { f.send(number%daemons, path) })
		}
	})
	return func() int {
		stopped.Store(true)
		running.Wait()
		return int(sent.Load())
	}
}

// runRollouts is run with daemons that control rollouts.
func runRollouts(t *testing.T, check func(f *fleet)) {
	runFleetWith(t, daemons, 20, func(f *fleet) { f.rollouts = true }, check)
}

// TestGoodVersionIsCompleted rolls out a good version: the rollout completes in time and its state is written, no
// request runs at an old back end after completion, and no request fails.
func TestGoodVersionIsCompleted(t *testing.T) {
	runRollouts(t, func(f *fleet) {
		stop := f.startSteadyLoad(100)
		started := f.startNewVersion(nil)
		start := time.Now()
		time.Sleep(time.Second)
		require.Equal(t, "running", f.rolloutState())
		for f.rolloutState() == "running" && time.Since(start) < 2*rolloutDuration {
			time.Sleep(10 * time.Millisecond)
		}
		require.Equal(t, "completed", f.rolloutState())
		require.Less(t, time.Since(start), rolloutDuration)
		old := f.totalOf(f.workers)
		for _, worker := range f.workers {
			f.store.Remove("servers", worker.id)
		}
		time.Sleep(2 * time.Second)
		sent := stop()
		require.Equal(t, old, f.totalOf(f.workers), "an old back end got a request after the rollout completed")
		t.Logf("completed after %s, %d of %d requests at the new version", time.Since(start)-2*time.Second, f.totalOf(started), sent)
		f.requireAllServed()
	})
}

// totalOf returns the number of requests that the workers ran.
func (f *fleet) totalOf(workers []*worker) int {
	total := 0
	for _, worker := range workers {
		total += worker.total()
	}
	return total
}

func (f *fleet) requireAllServed() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for id, got := range f.answers {
		require.Equal(f.t, http.StatusOK, got.status, "%s: %s", id, got.body)
	}
}

// TestBadVersionIsTakenBack rolls out versions that fail half of all requests, or all non-repeatable ones, without
// other faults, while the store is down, while its responses are dropped, and while the dispatcher is killed: each
// version gets at most a tenth of the requests plus 50, and is rolled back.
func TestBadVersionIsTakenBack(t *testing.T) {
	var count atomic.Int64
	failsHalf := func(*http.Request) bool { return count.Add(1)%2 == 0 }
	for _, test := range []struct {
		name   string
		fails  func(r *http.Request) bool
		inject func(f *fleet)
	}{
		{"fails half", failsHalf, func(*fleet) {}},
		{"fails non-repeatable requests", func(r *http.Request) bool { return r.Method == http.MethodPost }, func(*fleet) {}},
		{"fails half with the store down", failsHalf, func(f *fleet) {
			time.Sleep(500 * time.Millisecond)
			f.store.SetFaults(objectstub.Faults{Down: true})
			time.Sleep(6 * time.Second)
			f.store.SetFaults(objectstub.Faults{})
		}},
		{"fails half with store responses dropped", failsHalf, func(f *fleet) { f.store.SetFaults(objectstub.Faults{DropResponses: 3}) }},
		{"fails half with the dispatcher killed", failsHalf, func(f *fleet) {
			time.Sleep(700 * time.Millisecond)
			for number, d := range f.daemons {
				if _, remote := d.DispatcherOf("board"); !remote {
					f.replaceDaemon(number)
					return
				}
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			runRollouts(t, func(f *fleet) {
				stop := f.startSteadyLoad(100)
				time.Sleep(time.Second)
				started := f.startNewVersion(test.fails)
				start := time.Now()
				test.inject(f)
				for f.rolloutState() != "rolled_back" && time.Since(start) < 2*rolloutDuration {
					time.Sleep(10 * time.Millisecond)
				}
				require.Equal(t, "rolled_back", f.rolloutState())
				after := time.Since(start)
				time.Sleep(300 * time.Millisecond)
				exposed := f.totalOf(started)
				time.Sleep(rolloutDuration)
				sent := stop()
				t.Logf("rolled back after %s, %d of %d requests at the new version", after, exposed, sent)
				require.Equal(t, exposed, f.totalOf(started), "the version got a request after it was rolled back")
				require.LessOrEqual(t, float64(exposed), 0.1*float64(100*rolloutDuration.Seconds())+50)
			})
		})
	}
}

// TestVersionSeenBeforeItsRolloutOrder checks that a version that daemons see before its rollout order gets no
// requests at first, and is used if no order arrives.
func TestVersionSeenBeforeItsRolloutOrder(t *testing.T) {
	runRollouts(t, func(f *fleet) {
		stop := f.startSteadyLoad(100)
		started := &worker{id: "n-0", zone: "zone", service: "board", version: "v2", runs: make(map[string]int), serviceTime: 20 * time.Millisecond, instance: "n-0"}
		started.address = f.serve(started.id, started)
		f.writeEntry(started, "ready")
		time.Sleep(3 * time.Second)
		require.Zero(t, started.total())
		time.Sleep(7 * time.Second)
		stop()
		require.Positive(t, started.total())
		f.requireAllServed()
	})
}
