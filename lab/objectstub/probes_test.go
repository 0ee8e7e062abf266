package objectstub_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// load sends a request each interval for a while, through all daemons in turn, and
// returns how long each took.
func (f *fleet) load(path string, interval, length time.Duration) []time.Duration {
	took := make([]time.Duration, int(length/interval))
	var running sync.WaitGroup
	for number := range took {
		running.Go(func() {
			begun := time.Now()
			got := f.send(number%len(f.daemons), path)
			assert.NoError(f.t, got.err)
			assert.Equal(f.t, http.StatusOK, got.status)
			took[number] = time.Since(begun)
		})
		time.Sleep(interval)
	}
	running.Wait()
	return took
}

// TestProbesFindTheUndisturbed lets half of the workers be disturbed by turns, so that
// what they told with their last answer is soon wrong. Without probes 400 of 1,000
// requests meet a disturbed one; a few do at each turn in any case.
func TestProbesFindTheUndisturbed(t *testing.T) {
	run(t, 4, func(f *fleet) {
		for _, one := range f.workers {
			one.change(func() { one.disturb = 150 * time.Millisecond })
		}
		f.load("/one/unsafe/", 30*time.Millisecond, 15*time.Second) // until the budget is granted
		slow := 0
		took := f.load("/one/unsafe/", 30*time.Millisecond, 30*time.Second)
		for _, one := range took {
			if one > 2*f.workers[0].work {
				slow++
			}
		}
		require.Less(t, slow, len(took)/4, "of %d requests", len(took))
	})
}

// TestProbesStayInTheBudget counts the probes that workers get from all daemons
// together, while the daemon that probes dies, others take over, and a worker does not
// answer probes.
func TestProbesStayInTheBudget(t *testing.T) {
	run(t, 3, func(f *fleet) {
		for _, one := range f.workers { // else hardly any probe is worth making
			one.change(func() { one.disturb = 150 * time.Millisecond })
		}
		f.load("/one/safe/", 30*time.Millisecond, 20*time.Second)
		f.workers[0].change(func() { f.workers[0].silent = true })
		f.load("/one/safe/", 30*time.Millisecond, 5*time.Second)
		for len(f.daemons) > 1 {
			f.daemons[0].Kill()
			f.daemons = f.daemons[1:]
			time.Sleep(5 * time.Second) // its connections are given up
			f.load("/one/safe/", 30*time.Millisecond, 25*time.Second)
		}
		total := 0
		for _, one := range f.workers {
			one.change(func() {
				total += len(one.probes)
				for first, last := 0, 0; last < len(one.probes); last++ {
					for one.probes[last].Sub(one.probes[first]) >= time.Second {
						first++
					}
					require.LessOrEqual(f.t, last-first+1, probesPerBackend, one.id)
				}
			})
		}
		require.Greater(f.t, total, 500, "hardly any probe was made")
	})
}
