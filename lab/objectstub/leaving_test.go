package objectstub_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/lab/objectstub"
)

// leavingBound is after what time a daemon that passed on an answer of a leaving back end must send it nothing
// new, and leavingKnown after what time no daemon does, as they tell each other.
const (
	leavingBound = 2 * time.Second
	leavingKnown = time.Second
)

// ipOf returns the IP of an address with a port.
func ipOf(address string) string {
	return strings.Split(address, ":")[0]
}

// firstTold returns when a worker first told each daemon, by its IP, what it says.
func (w *worker) firstTold() map[string]time.Time {
	first := make(map[string]time.Time)
	for _, one := range w.told {
		if _, known := first[ipOf(one.to)]; !known {
			first[ipOf(one.to)] = one.at
		}
	}
	return first
}

// lateArrivals returns how many requests a worker got later than a bound from daemons that it had told that it
// leaves.
func (w *worker) lateArrivals(bound time.Duration) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	first, late := w.firstTold(), 0
	for number, at := range w.arrivals {
		if told, known := first[ipOf(w.senders[number])]; known && at.Sub(told) > bound {
			late++
		}
	}
	return late
}

// arrivedAfter returns how many requests a worker got from a time on.
func (w *worker) arrivedAfter(from time.Time) int {
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

// leave makes a worker say in its answers that it leaves.
func (w *worker) leave() {
	w.change(func() { w.leaving = true })
}

// TestLeavingBackendThatStoreDoesNotKnow guards against requests to a back end whose answers say that it leaves
// while the store, which is down, still lists it as ready.
func TestLeavingBackendThatStoreDoesNotKnow(t *testing.T) {
	run(t, 4, func(f *fleet) {
		load := f.randomLoad(limitedLoad)
		time.Sleep(2 * time.Second)
		f.store.SetFaults(objectstub.Faults{Down: true})
		f.workers[0].leave()
		said := time.Now()
		time.Sleep(10 * time.Second)
		answered := load.share()
		late, after := f.workers[0].lateArrivals(leavingBound), f.workers[0].arrivedAfter(said.Add(leavingKnown))
		t.Logf("%d requests later than %s after an answer to the same daemon, %d in all from %s on", late, leavingBound, after, leavingKnown)
		require.Zero(t, late)
		require.Zero(t, after)
		require.Greater(t, answered, 0.99)
		require.Equal(t, http.StatusOK, f.send(0, "/one/safe/").status)
	})
}

// TestLeavingBackendInTroubles guards against requests to a back end that said with its answers that it leaves,
// whatever happens meanwhile and by whichever way requests reach back ends.
func TestLeavingBackendInTroubles(t *testing.T) {
	troubles := []trouble{
		{name: "none, and the store never says it", plays: func(*fleet, *randomLoad) {}},
		{name: "the store is down, and back", plays: func(f *fleet, _ *randomLoad) {
			f.store.SetFaults(objectstub.Faults{Down: true})
			time.Sleep(5 * time.Second)
			f.store.SetFaults(objectstub.Faults{})
		}},
		{name: "watches of the store are deaf", plays: func(f *fleet, _ *randomLoad) { f.store.SetFaults(objectstub.Faults{StallWatches: true}) }},
		{name: "the store says again that it is ready", plays: func(f *fleet, _ *randomLoad) {
			for range 3 {
				f.announce(f.workers[0], "ready")
				time.Sleep(time.Second)
			}
		}},
		{name: "its entry lapses and comes back", plays: func(f *fleet, _ *randomLoad) {
			for range 3 {
				f.store.Remove("servers", f.workers[0].id)
				time.Sleep(1500 * time.Millisecond)
				f.announce(f.workers[0], "ready")
				time.Sleep(1500 * time.Millisecond)
			}
		}},
		{name: "the store forgets its history", plays: func(f *fleet, _ *randomLoad) {
			f.announce(f.workers[1], "ready")
			f.store.Compact()
		}},
		{name: "configurations come", plays: func(f *fleet, _ *randomLoad) {
			for range 5 {
				f.configure("/one/")
				time.Sleep(500 * time.Millisecond)
			}
		}},
		{name: "the service is taken out of the configuration, and put back", plays: func(f *fleet, load *randomLoad) {
			load.without(func() {
				f.split = map[string]int{"other": 1}
				f.configure("/one/")
				time.Sleep(2 * time.Second)
				f.split = nil
				f.configure("/one/")
				time.Sleep(2 * time.Second)
			})
		}},
	}
	for _, one := range append(troubles, commonTroubles...) {
		t.Run(one.name, func(t *testing.T) {
			run(t, 6, func(f *fleet) {
				load := f.randomLoad(limitedLoad)
				time.Sleep(2 * time.Second)
				f.workers[0].leave()
				said := time.Now()
				time.Sleep(500 * time.Millisecond) // a daemon has heard it
				one.plays(f, load)
				time.Sleep(15*time.Second - time.Since(said))
				t.Logf("%.3f answered", load.share())
				late, after := f.workers[0].lateArrivals(leavingBound), f.workers[0].arrivedAfter(said.Add(leavingKnown))
				t.Logf("%d requests later than %s after an answer to the same daemon, %d in all from %s on", late, leavingBound, after, leavingKnown)
				require.Zero(t, late)
				if !one.apart {
					require.Zero(t, after)
				}
			})
		})
	}
}

// TestAllLeave refuses at once, with a time to come back, while every back end has said that it leaves, and
// serves again as soon as there is another one.
func TestAllLeave(t *testing.T) {
	run(t, 3, func(f *fleet) {
		f.earnRetries()
		for _, one := range f.workers {
			one.leave()
		}
		for number := range 40 {
			f.send(number%daemons, "/one/safe/")
		}
		time.Sleep(leavingKnown)
		ran := f.workers[0].total() + f.workers[1].total() + f.workers[2].total()
		for number := range daemons {
			for _, path := range []string{"/one/safe/", "/one/unsafe/"} {
				begun := time.Now()
				got := f.send(number, path)
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.NotEmpty(t, got.header.Get("Retry-After"))
				require.Less(t, time.Since(begun), 50*time.Millisecond)
			}
		}
		require.Equal(t, ran, f.workers[0].total()+f.workers[1].total()+f.workers[2].total())
		f.workers[0].change(func() { f.workers[0].leaving = false })
		f.workers[0].born = time.Now().UnixMilli()
		f.announce(f.workers[0], "ready")
		time.Sleep(leavingKnown)
		for number := range daemons {
			require.Equal(t, http.StatusOK, f.send(number, "/one/safe/").status)
		}
	})
}
