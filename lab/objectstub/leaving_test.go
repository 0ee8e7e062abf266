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
