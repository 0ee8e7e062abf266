package objectstub_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxRestartDelay is the maximum time until a restarted back end gets requests. Its entry is in force
// at all daemons by then.
const maxRestartDelay = 500 * time.Millisecond

// restartUnderID restarts a back end with the same id, and returns the time until it gets a request,
// at most 10 s.
func (f *fleet) restartUnderID(worker *worker) time.Duration {
	worker.update(func() {
		worker.instance = worker.id
		worker.rejects, worker.disturbed, worker.disturbPeriod = false, false, 0
	})
	worker.startedAt = time.Now().UnixMilli()
	before := worker.total()
	f.writeEntry(worker, "ready")
	start := time.Now()
	for worker.total() == before && time.Since(start) < 10*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// TestRestartUnderTheSameID guards against applying the state of a back end's earlier run after a restart with the
// same id. A daemon that had once found another back end at the address never used the id again, and a back end that
// had failed or been slow was still avoided.
func TestRestartUnderTheSameID(t *testing.T) {
	for _, test := range []struct {
		name    string
		disrupt func(f *fleet, worker *worker)
	}{
		{"another back end used its address", func(_ *fleet, worker *worker) {
			worker.update(func() { worker.instance = "i-other" })
		}},
		{"it was draining", func(f *fleet, worker *worker) { f.writeEntry(worker, "draining") }},
		{"it rejected all requests", func(_ *fleet, worker *worker) { worker.update(func() { worker.rejects = true }) }},
		{"it was slow", func(_ *fleet, worker *worker) { worker.update(func() { worker.disturbed = true }) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			run(t, 3, func(f *fleet) {
				for _, worker := range f.workers {
					worker.startedAt = time.Now().UnixMilli()
					f.writeEntry(worker, "ready")
				}
				load := f.startBackgroundLoad(10 * time.Millisecond)
				time.Sleep(2 * time.Second)
				restarted := f.workers[0]
				test.disrupt(f, restarted)
				time.Sleep(3 * time.Second)
				took := f.restartUnderID(restarted)
				time.Sleep(2 * time.Second)
				before := []int{restarted.total(), f.workers[1].total(), f.workers[2].total()}
				time.Sleep(3 * time.Second)
				load.finish()
				share := float64(restarted.total()-before[0]) / float64(restarted.total()-before[0]+f.workers[1].total()-before[1]+f.workers[2].total()-before[2])
				t.Logf("first request after %s; share of %.2f from 2 s on", took, share)
				require.Less(t, took, maxRestartDelay)
				require.Greater(t, share, 0.2, "an equal share is a third")
				require.Equal(t, http.StatusOK, f.send(0, "/one/safe/").status)
			})
		})
	}
}
