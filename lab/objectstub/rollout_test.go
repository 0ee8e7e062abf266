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

// rolloutTime is within what time a rollout of these tests is ordered.
const rolloutTime = 14 * time.Second

// orderVersion orders that the service moves to the other version.
func (f *fleet) orderVersion() {
	f.store.Set("rollouts", "board", map[string]any{"service": "board", "targetVersion": "v2", "durationS": rolloutTime.Seconds()})
}

// newVersion starts workers of another version beside those that are there, and orders that the
// service moves to them.
func (f *fleet) newVersion(fails func(r *http.Request) bool) []*worker {
	f.orderVersion()
	var started []*worker
	for number := range f.workers {
		one := &worker{
			id: fmt.Sprintf("n-%d", number), zone: "zone", service: "board", version: "v2", fails: fails, runs: make(map[string]int), work: 20 * time.Millisecond,
		}
		one.instance = one.id
		one.address = f.serve(one.id, one)
		started = append(started, one)
		f.announce(one, "ready")
	}
	return started
}

// state returns the state that the system has written of the rollout.
func (f *fleet) state() string {
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

// steadyLoad sends requests through all daemons until it is stopped, and returns how many were sent.
func (f *fleet) steadyLoad(perSecond int) (stop func() int) {
	var over atomic.Bool
	var running sync.WaitGroup
	var sent atomic.Int64
	running.Go(func() {
		for number := 0; !over.Load(); number++ {
			time.Sleep(time.Second / time.Duration(perSecond))
			path := []string{"/one/safe/", "/one/unsafe/"}[number%2]
			sent.Add(1)
			running.Go(func() { f.send(number%daemons, path) })
		}
	})
	return func() int {
		over.Store(true)
		running.Wait()
		return int(sent.Load())
	}
}

// runRollouts is run with daemons that follow rollouts.
func runRollouts(t *testing.T, check func(f *fleet)) {
	runFleetWith(t, daemons, 20, func(f *fleet) { f.rollouts = true }, check)
}

// TestGoodVersionIsCompleted moves a service to a good version before it is due: the state is written,
// no request is at an old back end when it is completed, and none is cut.
func TestGoodVersionIsCompleted(t *testing.T) {
	runRollouts(t, func(f *fleet) {
		stop := f.steadyLoad(100)
		started := f.newVersion(nil)
		begun := time.Now()
		time.Sleep(time.Second)
		require.Equal(t, "running", f.state())
		for f.state() == "running" && time.Since(begun) < 2*rolloutTime {
			time.Sleep(10 * time.Millisecond)
		}
		require.Equal(t, "completed", f.state())
		require.Less(t, time.Since(begun), rolloutTime)
		old := f.totalOf(f.workers)
		for _, one := range f.workers {
			f.store.Remove("servers", one.id)
		}
		time.Sleep(2 * time.Second)
		sent := stop()
		require.Equal(t, old, f.totalOf(f.workers), "an old back end got a request after it was completed")
		t.Logf("completed after %s, %d of %d requests at the new version", time.Since(begun)-2*time.Second, f.totalOf(started), sent)
		f.requireAllServed()
	})
}

// totalOf returns how many requests the workers ran.
func (f *fleet) totalOf(workers []*worker) int {
	total := 0
	for _, one := range workers {
		total += one.total()
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

// TestBadVersionIsTakenBack brings in versions that fail half of all requests, or all of one kind,
// while nothing else is wrong, while the store is down, while its answers are lost, and while the
// dispatcher is killed: each gets at most a tenth and 50, and is taken back.
func TestBadVersionIsTakenBack(t *testing.T) {
	var count atomic.Int64
	half := func(*http.Request) bool { return count.Add(1)%2 == 0 }
	for _, one := range []struct {
		name    string
		fails   func(r *http.Request) bool
		trouble func(f *fleet)
	}{
		{"fails half", half, func(*fleet) {}},
		{"fails what may not be repeated", func(r *http.Request) bool { return r.Method == http.MethodPost }, func(*fleet) {}},
		{"fails half, store down", half, func(f *fleet) {
			time.Sleep(500 * time.Millisecond)
			f.store.SetFaults(objectstub.Faults{Down: true})
			time.Sleep(6 * time.Second)
			f.store.SetFaults(objectstub.Faults{})
		}},
		{"fails half, answers of the store lost", half, func(f *fleet) { f.store.SetFaults(objectstub.Faults{DropResponses: 3}) }},
		{"fails half, the dispatcher dies", half, func(f *fleet) {
			time.Sleep(700 * time.Millisecond)
			for number, daemon := range f.daemons {
				if _, other := daemon.DispatcherOf("board"); !other {
					f.restart(number)
					return
				}
			}
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			runRollouts(t, func(f *fleet) {
				stop := f.steadyLoad(100)
				time.Sleep(time.Second)
				started := f.newVersion(one.fails)
				begun := time.Now()
				one.trouble(f)
				for f.state() != "rolled_back" && time.Since(begun) < 2*rolloutTime {
					time.Sleep(10 * time.Millisecond)
				}
				require.Equal(t, "rolled_back", f.state())
				after := time.Since(begun)
				time.Sleep(300 * time.Millisecond)
				exposed := f.totalOf(started)
				time.Sleep(rolloutTime)
				sent := stop()
				t.Logf("taken back after %s, %d of %d requests at the new version", after, exposed, sent)
				require.Equal(t, exposed, f.totalOf(started), "it got a request after it was taken back")
				require.LessOrEqual(t, float64(exposed), 0.1*float64(100*rolloutTime.Seconds())+50)
			})
		})
	}
}

// TestVersionWithoutOrderYet holds a version back that daemons see before the order for it reaches
// them, and lets it serve where no order comes.
func TestVersionWithoutOrderYet(t *testing.T) {
	runRollouts(t, func(f *fleet) {
		stop := f.steadyLoad(100)
		started := &worker{id: "n-0", zone: "zone", service: "board", version: "v2", runs: make(map[string]int), work: 20 * time.Millisecond, instance: "n-0"}
		started.address = f.serve(started.id, started)
		f.announce(started, "ready")
		time.Sleep(3 * time.Second)
		require.Zero(t, started.total())
		time.Sleep(7 * time.Second)
		stop()
		require.Positive(t, started.total())
		f.requireAllServed()
	})
}
