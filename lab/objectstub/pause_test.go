package objectstub_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/resultcode"
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

// TestPauseHoldsInTroubles guards against requests in a pause that a back end asked for, whatever else happens and by
// whichever way requests reach back ends.
func TestPauseHoldsInTroubles(t *testing.T) {
	troubles := []trouble{
		{name: "its entry changes, and configurations come", plays: func(f *fleet, _ *randomLoad) {
			for range 5 {
				f.announce(f.workers[0], "draining")
				f.announce(f.workers[0], "ready")
				f.configure("/one/")
				time.Sleep(500 * time.Millisecond)
			}
		}},
		{name: "several ask for pauses", plays: func(f *fleet, _ *randomLoad) {
			for _, worker := range f.workers[1:3] {
				worker.change(func() { worker.pauseEvery = 3 })
			}
			askForPause("4", f.workers[1:3]...)
		}},
	}
	for _, one := range append(troubles, commonTroubles...) {
		t.Run(one.name, func(t *testing.T) {
			run(t, 6, func(f *fleet) {
				load := f.randomLoad(limitedLoad)
				time.Sleep(2 * time.Second)
				f.workers[0].change(func() { f.workers[0].pauseEvery = 2 })
				askForPause("4", f.workers[0])
				begun := time.Now()
				one.plays(f, load)
				time.Sleep(15*time.Second - time.Since(begun))
				most := 0
				for _, worker := range f.workers {
					most = max(most, worker.mostInPause(4*time.Second))
				}
				t.Logf("%.3f answered; at most %d requests of one daemon in a pause of 4 s", load.share(), most)
				require.LessOrEqual(t, most, pauseMost)
				require.NotEmpty(t, f.workers[0].told)
			})
		})
	}
}

// TestPauseBindsWhoWasAsked lets the daemons that a back end did not ask go on sending to it.
func TestPauseBindsWhoWasAsked(t *testing.T) {
	run(t, 2, func(f *fleet) {
		f.earnRetries()
		one := f.workers[0]
		askForPause("8", one)
		for one.askedBy() == 0 {
			f.send(0, "/one/safe/")
		}
		askForPause("", one)
		asked, before := f.net.Address(hostOf(0)), one.total()
		bound := one.sentBy(asked)
		load := f.randomLoad(limitedLoad)
		time.Sleep(5 * time.Second)
		require.Equal(t, bound, one.sentBy(asked))
		require.Greater(t, one.total(), before+80, "of 400 requests 300 are the other daemons'")
		time.Sleep(8 * time.Second)
		require.Greater(t, one.sentBy(asked), bound+20, "nothing is owed once the pause is over")
		require.Greater(t, load.share(), 0.99)
	})
}

// askedBy returns how often a worker asked for a pause.
func (w *worker) askedBy() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.told)
}

// sentBy returns how many requests a worker got from a daemon.
func (w *worker) sentBy(address string) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count := 0
	for _, sender := range w.senders {
		if ipOf(sender) == ipOf(address) {
			count++
		}
	}
	return count
}

// TestAllAskForAPause refuses at once, with the time until the first pause is over, while all back ends want nothing
// of the daemon, and serves again then.
func TestAllAskForAPause(t *testing.T) {
	run(t, 2, func(f *fleet) {
		f.earnRetries()
		askForPause("4", f.workers...)
		begun := time.Now()
		for range 3 {
			require.Equal(t, http.StatusServiceUnavailable, f.send(0, "/one/safe/").status)
		}
		askForPause("", f.workers...)
		for _, path := range []string{"/one/safe/", "/one/unsafe/"} {
			sent := time.Now()
			got := f.send(0, path)
			require.Less(t, time.Since(sent), 50*time.Millisecond)
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.Equal(t, strconv.Itoa(int(resultcode.BackendsPaused)), got.header.Get(resultcode.HeaderCode))
			seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.InDelta(t, 4-time.Since(begun).Seconds(), seconds, 0.5)
		}
		require.Equal(t, http.StatusOK, f.send(1, "/one/safe/").status, "the others were not asked")
		time.Sleep(5 * time.Second)
		require.Equal(t, http.StatusOK, f.send(0, "/one/safe/").status)
	})
}

// TestPausesThatCannotBeRead changes nothing by words that name no pause, and tells of them once.
func TestPausesThatCannotBeRead(t *testing.T) {
	run(t, 3, func(f *fleet) {
		load := f.randomLoad(limitedLoad)
		time.Sleep(2 * time.Second)
		for number, value := range []string{"soon", "-4", "0"} {
			f.workers[number].change(func() { f.workers[number].pauseEvery = 10 })
			askForPause(value, f.workers[number])
		}
		time.Sleep(10 * time.Second)
		require.Greater(t, load.share(), 0.95)
		logged := f.logs.String()
		require.Contains(t, logged, `header Retry-After: value \"soon\"`)
		require.NotContains(t, logged, "asks for a pause")
	})
}
