package objectstub_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/resultcode"
)

// Guarantees for a back end that rejects a request with 503 and Retry-After.
const (
	// pauseKnownBound is the time after such a response from which the daemon that got it must pause.
	pauseKnownBound = 500 * time.Millisecond
	// maxRequestsInPause is the maximum number of requests from then until the pause ends.
	maxRequestsInPause = 2
)

// peakRequestsInPause returns the maximum number of requests that the worker got from one daemon within one pause
// of this duration that it had asked that daemon for.
func (w *worker) peakRequestsInPause(duration time.Duration) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	peak := 0
	for _, signal := range w.signals {
		count := 0
		for number, at := range w.arrivals {
			if ipOf(w.senders[number]) == ipOf(signal.to) && at.Sub(signal.at) >= pauseKnownBound && at.Sub(signal.at) < duration {
				count++
			}
		}
		peak = max(peak, count)
	}
	return peak
}

// setRetryAfter makes workers reject all requests, or one of every pauseEvery, with this Retry-After; empty: none.
func setRetryAfter(retryAfter string, workers ...*worker) {
	for _, worker := range workers {
		worker.update(func() { worker.retryAfter = retryAfter })
	}
}

// TestBackendGetsNoRequestsDuringPause guards against requests to a back end that rejected a request with a
// Retry-After of some seconds.
func TestBackendGetsNoRequestsDuringPause(t *testing.T) {
	run(t, 4, func(f *fleet) {
		load := f.randomLoad(loadInterval)
		time.Sleep(2 * time.Second)
		f.workers[0].pauseEvery = 2
		setRetryAfter("4", f.workers[0])
		time.Sleep(20 * time.Second)
		peak := f.workers[0].peakRequestsInPause(4 * time.Second)
		t.Logf("at most %d requests from one daemon in a pause of 4 s", peak)
		require.LessOrEqual(t, peak, maxRequestsInPause)
		require.NotEmpty(t, f.workers[0].signals)
		require.Greater(t, load.finish(), 0.95)
	})
}

// TestPauseHoldsInTroubles guards against requests during a pause that a back end asked for, during disruptions and
// for every way by which requests reach back ends.
func TestPauseHoldsInTroubles(t *testing.T) {
	disruptions := []disruption{
		{name: "its entry and the configuration change", apply: func(f *fleet, _ *randomLoad) {
			for range 5 {
				f.writeEntry(f.workers[0], "draining")
				f.writeEntry(f.workers[0], "ready")
				f.configure("/one/")
				time.Sleep(500 * time.Millisecond)
			}
		}},
		{name: "several back ends ask for pauses", apply: func(f *fleet, _ *randomLoad) {
			for _, worker := range f.workers[1:3] {
				worker.update(func() { worker.pauseEvery = 3 })
			}
			setRetryAfter("4", f.workers[1:3]...)
		}},
	}
	for _, test := range append(disruptions, commonDisruptions...) {
		t.Run(test.name, func(t *testing.T) {
			run(t, 6, func(f *fleet) {
				load := f.randomLoad(loadInterval)
				time.Sleep(2 * time.Second)
				f.workers[0].update(func() { f.workers[0].pauseEvery = 2 })
				setRetryAfter("4", f.workers[0])
				start := time.Now()
				test.apply(f, load)
				time.Sleep(15*time.Second - time.Since(start))
				peak := 0
				for _, worker := range f.workers {
					peak = max(peak, worker.peakRequestsInPause(4*time.Second))
				}
				t.Logf("%.3f answered; at most %d requests from one daemon in a pause of 4 s", load.finish(), peak)
				require.LessOrEqual(t, peak, maxRequestsInPause)
				require.NotEmpty(t, f.workers[0].signals)
			})
		})
	}
}

// TestPauseAppliesOnlyToDaemonThatWasAsked checks that only the daemon that a back end asked for a pause stops
// sending requests to it.
func TestPauseAppliesOnlyToDaemonThatWasAsked(t *testing.T) {
	run(t, 2, func(f *fleet) {
		f.earnRetryBudget()
		worker := f.workers[0]
		setRetryAfter("8", worker)
		for worker.pauseRequests() == 0 {
			f.send(0, "/one/safe/")
		}
		setRetryAfter("", worker)
		askedAddress, before := f.net.Address(hostOf(0)), worker.total()
		requestsBefore := worker.requestsFrom(askedAddress)
		load := f.randomLoad(loadInterval)
		time.Sleep(5 * time.Second)
		require.Equal(t, requestsBefore, worker.requestsFrom(askedAddress))
		require.Greater(t, worker.total(), before+80, "the other daemons send 300 of 400 requests")
		time.Sleep(8 * time.Second)
		require.Greater(t, worker.requestsFrom(askedAddress), requestsBefore+20, "the daemon sends requests again after the pause")
		require.Greater(t, load.finish(), 0.99)
	})
}

// pauseRequests returns the number of responses in which the worker asked for a pause.
func (w *worker) pauseRequests() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.signals)
}

// requestsFrom returns the number of requests that the worker got from a daemon.
func (w *worker) requestsFrom(address string) int {
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

// TestRequestsAreRefusedWhileAllBackendsArePaused checks that a daemon refuses requests immediately while all back
// ends have asked it for a pause, with the time until the first pause ends as Retry-After, and serves requests
// afterwards.
func TestRequestsAreRefusedWhileAllBackendsArePaused(t *testing.T) {
	run(t, 2, func(f *fleet) {
		f.earnRetryBudget()
		setRetryAfter("4", f.workers...)
		start := time.Now()
		for range 3 {
			require.Equal(t, http.StatusServiceUnavailable, f.send(0, "/one/safe/").status)
		}
		setRetryAfter("", f.workers...)
		for _, path := range []string{"/one/safe/", "/one/unsafe/"} {
			sent := time.Now()
			got := f.send(0, path)
			require.Less(t, time.Since(sent), 50*time.Millisecond)
			require.Equal(t, http.StatusServiceUnavailable, got.status)
			require.Equal(t, strconv.Itoa(int(resultcode.BackendsPaused)), got.header.Get(resultcode.HeaderCode))
			seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			require.NoError(t, err)
			require.InDelta(t, 4-time.Since(start).Seconds(), seconds, 0.5)
		}
		require.Equal(t, http.StatusOK, f.send(1, "/one/safe/").status, "the other daemons were not asked for a pause")
		time.Sleep(5 * time.Second)
		require.Equal(t, http.StatusOK, f.send(0, "/one/safe/").status)
	})
}

// TestInvalidRetryAfterStartsNoPause checks that invalid Retry-After values are logged and start no pause.
func TestInvalidRetryAfterStartsNoPause(t *testing.T) {
	run(t, 3, func(f *fleet) {
		load := f.randomLoad(loadInterval)
		time.Sleep(2 * time.Second)
		for number, value := range []string{"soon", "-4", "0"} {
			f.workers[number].update(func() { f.workers[number].pauseEvery = 10 })
			setRetryAfter(value, f.workers[number])
		}
		time.Sleep(10 * time.Second)
		require.Greater(t, load.finish(), 0.95)
		logged := f.logs.String()
		require.Contains(t, logged, `header Retry-After: value \"soon\"`)
		require.NotContains(t, logged, "asks for a pause")
	})
}
