package objectstub_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What is promised to a back end that turns a request away with 503 and Retry-After.
const (
	// pauseInForce is from when after such an answer the daemon that got it is bound.
	pauseInForce = 500 * time.Millisecond
	// pauseMost is how many requests may reach it from there until the time is over.
	pauseMost = 2
)

// mostInPause returns the most requests that a worker got from one daemon within one pause of so long that
// it had asked that daemon for.
func (w *worker) mostInPause(lasts time.Duration) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	most := 0
	for _, asked := range w.told {
		count := 0
		for number, at := range w.arrivals {
			if ipOf(w.senders[number]) == ipOf(asked.to) && at.Sub(asked.at) >= pauseInForce && at.Sub(asked.at) < lasts {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// askForPause makes workers turn requests away, all or each of pauseEvery, and ask for a pause; empty: they take requests again.
func askForPause(retryAfter string, workers ...*worker) {
	for _, one := range workers {
		one.change(func() { one.pause = retryAfter })
	}
}

// TestBackendThatAsksForAPause guards against requests to a back end that turned one away and asked to be
// left alone for some seconds.
func TestBackendThatAsksForAPause(t *testing.T) {
	run(t, 4, func(f *fleet) {
		load := f.randomLoad(limitedLoad)
		time.Sleep(2 * time.Second)
		f.workers[0].pauseEvery = 2
		askForPause("4", f.workers[0])
		time.Sleep(20 * time.Second)
		most := f.workers[0].mostInPause(4 * time.Second)
		t.Logf("at most %d requests of one daemon in a pause of 4 s", most)
		require.LessOrEqual(t, most, pauseMost)
		require.NotEmpty(t, f.workers[0].told)
		require.Greater(t, load.share(), 0.95)
	})
}
