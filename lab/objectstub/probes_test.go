package objectstub_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// sendLoad sends a request each interval for a duration, through the daemons in turn, and
// returns the latency of each.
func (f *fleet) sendLoad(path string, interval, duration time.Duration) []time.Duration {
	latencies := make([]time.Duration, int(duration/interval))
	var running sync.WaitGroup
	for number := range latencies {
		running.Go(func() {
			start := time.Now()
			got := f.send(number%len(f.daemons), path)
			assert.NoError(f.t, got.err)
			assert.Equal(f.t, http.StatusOK, got.status)
			latencies[number] = time.Since(start)
		})
		time.Sleep(interval)
	}
	running.Wait()
	return latencies
}

// TestProbesAvoidDisturbedWorkers slows down alternating halves of the workers, so that the load reported with their
// last response is soon outdated. Without probes, 400 of 1,000 requests are sent to a disturbed worker; a few at each
// change are in any case.
func TestProbesAvoidDisturbedWorkers(t *testing.T) {
	run(t, 4, func(f *fleet) {
		for _, worker := range f.workers {
			worker.update(func() { worker.disturbPeriod = 150 * time.Millisecond })
		}
		f.sendLoad("/one/unsafe/", 30*time.Millisecond, 15*time.Second) // until the probe budget is granted
		slow := 0
		latencies := f.sendLoad("/one/unsafe/", 30*time.Millisecond, 30*time.Second)
		for _, latency := range latencies {
			if latency > 2*f.workers[0].serviceTime {
				slow++
			}
		}
		require.Less(t, slow, len(latencies)/4, "of %d requests", len(latencies))
	})
}

// TestProbesStayWithinBudget counts the probes that workers get from all daemons together, while probing daemons are
// killed, others take over, and a worker does not respond to probes.
func TestProbesStayWithinBudget(t *testing.T) {
	run(t, 3, func(f *fleet) {
		for _, worker := range f.workers { // otherwise probes are of little benefit and rare
			worker.update(func() { worker.disturbPeriod = 150 * time.Millisecond })
		}
		f.sendLoad("/one/safe/", 30*time.Millisecond, 20*time.Second)
		f.workers[0].update(func() { f.workers[0].ignoresProbes = true })
		f.sendLoad("/one/safe/", 30*time.Millisecond, 5*time.Second)
		for len(f.daemons) > 1 {
			f.daemons[0].Kill()
			f.daemons = f.daemons[1:]
			time.Sleep(5 * time.Second) // until its connections have timed out
			f.sendLoad("/one/safe/", 30*time.Millisecond, 25*time.Second)
		}
		total := 0
		for _, worker := range f.workers {
			worker.update(func() {
				total += len(worker.probes)
				for first, last := 0, 0; last < len(worker.probes); last++ {
					for worker.probes[last].Sub(worker.probes[first]) >= time.Second {
						first++
					}
					require.LessOrEqual(f.t, last-first+1, probesPerBackend, worker.id)
				}
			})
		}
		require.Greater(f.t, total, 500, "too few probes to test the budget")
	})
}
