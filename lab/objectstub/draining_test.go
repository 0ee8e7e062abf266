package objectstub_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/lab/objectstub"
)

// drainingBound is the time after which a daemon that got a response of a draining back end must send it no new
// requests, and drainingKnownBound the time after which no daemon does, as the signal is broadcast.
const (
	drainingBound      = 2 * time.Second
	drainingKnownBound = time.Second
)

// ipOf returns the IP address of a host:port address.
func ipOf(address string) string {
	return strings.Split(address, ":")[0]
}

// firstSignals returns the time of the worker's first signal to each daemon, by the daemon's IP address.
func (w *worker) firstSignals() map[string]time.Time {
	first := make(map[string]time.Time)
	for _, sent := range w.signals {
		if _, known := first[ipOf(sent.to)]; !known {
			first[ipOf(sent.to)] = sent.at
		}
	}
	return first
}

// lateArrivals returns the number of requests from daemons that the worker had sent a signal more than bound
// before.
func (w *worker) lateArrivals(bound time.Duration) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	first, late := w.firstSignals(), 0
	for number, at := range w.arrivals {
		if signaledAt, known := first[ipOf(w.senders[number])]; known && at.Sub(signaledAt) > bound {
			late++
		}
	}
	return late
}

// arrivalsAfter returns the number of requests that the worker got after a time.
func (w *worker) arrivalsAfter(from time.Time) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count := 0
	for _, at := range w.arrivals {
		if at.After(from) {
			count++
		}
	}
	return count
}

// startDraining makes the worker report in its responses that it is draining.
func (w *worker) startDraining() {
	w.update(func() { w.draining = true })
}

// TestDrainingBackendWhileStoreIsDown guards against requests to a back end whose responses report that it is
// draining while the store, which is down, still lists it as ready.
func TestDrainingBackendWhileStoreIsDown(t *testing.T) {
	run(t, 4, func(f *fleet) {
		load := f.randomLoad(loadInterval)
		time.Sleep(2 * time.Second)
		f.store.SetFaults(objectstub.Faults{Down: true})
		f.workers[0].startDraining()
		drainingSince := time.Now()
		time.Sleep(10 * time.Second)
		answered := load.finish()
		late, after := f.workers[0].lateArrivals(drainingBound), f.workers[0].arrivalsAfter(drainingSince.Add(drainingKnownBound))
		t.Logf("%d requests later than %s after a response to the same daemon, %d in total from %s on", late, drainingBound, after, drainingKnownBound)
		require.Zero(t, late)
		require.Zero(t, after)
		require.Greater(t, answered, 0.99)
		require.Equal(t, http.StatusOK, f.send(0, "/one/safe/").status)
	})
}

// TestDrainingBackendDuringDisruptions guards against requests to a back end whose responses report that it is
// draining, during disruptions and for every way by which requests reach back ends.
func TestDrainingBackendDuringDisruptions(t *testing.T) {
	disruptions := []disruption{
		{name: "no disruption, and the store never lists it as draining", apply: func(*fleet, *randomLoad) {}},
		{name: "the store is down and recovers", apply: func(f *fleet, _ *randomLoad) {
			f.store.SetFaults(objectstub.Faults{Down: true})
			time.Sleep(5 * time.Second)
			f.store.SetFaults(objectstub.Faults{})
		}},
		{name: "watches stall", apply: func(f *fleet, _ *randomLoad) { f.store.SetFaults(objectstub.Faults{StallWatches: true}) }},
		{name: "the store lists it as ready again", apply: func(f *fleet, _ *randomLoad) {
			for range 3 {
				f.writeEntry(f.workers[0], "ready")
				time.Sleep(time.Second)
			}
		}},
		{name: "its entry is removed and written again", apply: func(f *fleet, _ *randomLoad) {
			for range 3 {
				f.store.Remove("servers", f.workers[0].id)
				time.Sleep(1500 * time.Millisecond)
				f.writeEntry(f.workers[0], "ready")
				time.Sleep(1500 * time.Millisecond)
			}
		}},
		{name: "history is compacted", apply: func(f *fleet, _ *randomLoad) {
			f.writeEntry(f.workers[1], "ready")
			f.store.Compact()
		}},
		{name: "the configuration changes", apply: func(f *fleet, _ *randomLoad) {
			for range 5 {
				f.configure("/one/")
				time.Sleep(500 * time.Millisecond)
			}
		}},
		{name: "the service is removed from the configuration and added again", apply: func(f *fleet, load *randomLoad) {
			load.pausedWhile(func() {
				f.split = map[string]int{"other": 1}
				f.configure("/one/")
				time.Sleep(2 * time.Second)
				f.split = nil
				f.configure("/one/")
				time.Sleep(2 * time.Second)
			})
		}},
	}
	for _, test := range append(disruptions, commonDisruptions...) {
		t.Run(test.name, func(t *testing.T) {
			run(t, 6, func(f *fleet) {
				load := f.randomLoad(loadInterval)
				time.Sleep(2 * time.Second)
				f.workers[0].startDraining()
				drainingSince := time.Now()
				time.Sleep(500 * time.Millisecond) // until a daemon has got the signal
				test.apply(f, load)
				time.Sleep(15*time.Second - time.Since(drainingSince))
				t.Logf("%.3f answered", load.finish())
				late, after := f.workers[0].lateArrivals(drainingBound), f.workers[0].arrivalsAfter(drainingSince.Add(drainingKnownBound))
				t.Logf("%d requests later than %s after a response to the same daemon, %d in total from %s on", late, drainingBound, after, drainingKnownBound)
				require.Zero(t, late)
				if !test.divergent {
					require.Zero(t, after)
				}
			})
		})
	}
}

// TestRequestsAreRefusedWhileAllBackendsDrain checks that requests are refused immediately with Retry-After while
// every back end is draining, and served as soon as one has restarted.
func TestRequestsAreRefusedWhileAllBackendsDrain(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.earnRetryBudget()
		for _, worker := range f.workers {
			worker.startDraining()
		}
		for number := range 40 {
			f.send(number%daemons, "/one/safe/")
		}
		time.Sleep(drainingKnownBound)
		runsBefore := f.workers[0].total() + f.workers[1].total() + f.workers[2].total()
		for number := range daemons {
			for _, path := range []string{"/one/safe/", "/one/unsafe/"} {
				start := time.Now()
				got := f.send(number, path)
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.NotEmpty(t, got.header.Get("Retry-After"))
				require.Less(t, time.Since(start), 50*time.Millisecond)
			}
		}
		require.Equal(t, runsBefore, f.workers[0].total()+f.workers[1].total()+f.workers[2].total())
		f.workers[0].update(func() { f.workers[0].draining = false })
		f.workers[0].startedAt = time.Now().UnixMilli()
		f.writeEntry(f.workers[0], "ready")
		time.Sleep(drainingKnownBound)
		for number := range daemons {
			require.Equal(t, http.StatusOK, f.send(number, "/one/safe/").status)
		}
	})
}
