package objectstub_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/daemon"
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
	down := objectstub.Faults{Down: true}
	for _, one := range []struct {
		name    string
		trouble func(f *fleet, load *randomLoad)
		// apart: some daemons do not hear of it from others for a while, or all forget it.
		apart bool
	}{
		{name: "none, and the store never says it", trouble: func(*fleet, *randomLoad) {}},
		{name: "the store is down, and back", trouble: func(f *fleet, _ *randomLoad) {
			f.store.SetFaults(down)
			time.Sleep(5 * time.Second)
			f.store.SetFaults(objectstub.Faults{})
		}},
		{name: "watches of the store are deaf", trouble: func(f *fleet, _ *randomLoad) { f.store.SetFaults(objectstub.Faults{Deaf: true}) }},
		{name: "the store says again that it is ready", trouble: func(f *fleet, _ *randomLoad) {
			for range 3 {
				f.announce(f.workers[0], "ready")
				time.Sleep(time.Second)
			}
		}},
		{name: "its entry lapses and comes back", trouble: func(f *fleet, _ *randomLoad) {
			for range 3 {
				f.store.Remove("servers", f.workers[0].id)
				time.Sleep(1500 * time.Millisecond)
				f.announce(f.workers[0], "ready")
				time.Sleep(1500 * time.Millisecond)
			}
		}},
		{name: "the store forgets its history", trouble: func(f *fleet, _ *randomLoad) {
			f.announce(f.workers[1], "ready")
			f.store.Compact()
		}},
		{name: "configurations come", trouble: func(f *fleet, _ *randomLoad) {
			for range 5 {
				f.configure("/one/")
				time.Sleep(500 * time.Millisecond)
			}
		}},
		{name: "the service is taken out of the configuration, and put back", trouble: func(f *fleet, load *randomLoad) {
			load.without(func() {
				f.split = map[string]int{"other": 1}
				f.configure("/one/")
				time.Sleep(2 * time.Second)
				f.split = nil
				f.configure("/one/")
				time.Sleep(2 * time.Second)
			})
		}},
		{name: "the daemon that dispatches loses power", trouble: func(f *fleet, load *randomLoad) {
			host := f.dispatcher()
			load.without(func() {
				f.powerOff(func(_ *daemon.Daemon, number int) bool { return hostOf(number) == host })
			})
		}},
		{name: "daemons are replaced one by one", trouble: func(f *fleet, load *randomLoad) {
			for range daemons {
				load.without(func() { f.restart(0) })
				time.Sleep(startTime)
			}
		}},
		{name: "all daemons are killed, and others start", apart: true, trouble: func(f *fleet, load *randomLoad) {
			load.without(func() {
				f.startAnew()
				time.Sleep(startTime)
			})
		}},
		{name: "daemons choose back ends by themselves", apart: true, trouble: func(f *fleet, load *randomLoad) {
			load.without(func() {
				f.direct = true
				f.startAnew()
				time.Sleep(startTime)
			})
		}},
		{name: "half of the daemons are cut off from the others", apart: true, trouble: func(f *fleet, _ *randomLoad) {
			f.net.SetRule(func(a, b string) bool { return isLeft(a) && isRight(b) || isRight(a) && isLeft(b) })
			time.Sleep(8 * time.Second)
			f.net.SetRule(nil)
		}},
		{name: "the daemon that dispatches is frozen, and wakes", apart: true, trouble: func(f *fleet, _ *randomLoad) {
			host := f.dispatcher()
			f.net.SetFrozen(host, true)
			time.Sleep(4 * time.Second)
			f.net.SetFrozen(host, false)
		}},
		{name: "requests must not be repeated", trouble: func(_ *fleet, load *randomLoad) { load.once.Store(true) }},
		{name: "requests go together on a connection, and wait for places", trouble: func(f *fleet, _ *randomLoad) {
			f.burst(200)
			for number := range 20 {
				go f.pipeline(number%daemons, fmt.Sprintf("/one/safe/together-%d", number), 4)
				time.Sleep(200 * time.Millisecond)
			}
		}},
		{name: "others refuse, so that requests are sent again", trouble: func(f *fleet, _ *randomLoad) {
			for _, worker := range f.workers[2:] {
				worker.change(func() { worker.refuse = true })
			}
		}},
		{name: "others are disturbed, so that requests get second attempts", trouble: func(f *fleet, _ *randomLoad) {
			for _, worker := range f.workers[1:] {
				worker.change(func() { worker.disturb = 150 * time.Millisecond })
			}
		}},
		{name: "there are more requests than all can take", trouble: func(f *fleet, _ *randomLoad) {
			extra := f.randomLoad(2 * time.Millisecond)
			time.Sleep(5 * time.Second)
			extra.share()
		}},
	} {
		t.Run(one.name, func(t *testing.T) {
			run(t, 6, func(f *fleet) {
				load := f.randomLoad(limitedLoad)
				time.Sleep(2 * time.Second)
				f.workers[0].leave()
				said := time.Now()
				time.Sleep(500 * time.Millisecond) // a daemon has heard it
				one.trouble(f, load)
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
