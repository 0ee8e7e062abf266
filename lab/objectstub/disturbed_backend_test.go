package objectstub_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEarlyHedgeForDisturbedBackend slows a worker down right before requests reach it, long after its last load
// report: through any daemon, repeatable requests are hedged at the other worker within a few milliseconds, not only
// once they are slow.
func TestEarlyHedgeForDisturbedBackend(t *testing.T) {
	run(t, 2, func(f *fleet) {
		f.service["healthPath"] = "/health"
		f.configure("/one/")
		for _, worker := range f.workers {
			worker.update(func() { worker.serviceTime = 100 * time.Millisecond })
		}
		for range 30 { // until the service time, the usual slowdown and the probe budget are known
			f.sendLoad("/one/safe/", 50*time.Millisecond, time.Second)
		}
		late := 0
		for number := range 8 {
			worker := f.workers[number%2]
			worker.update(func() { worker.disturbed = true })
			start := time.Now()
			require.Equal(t, http.StatusOK, f.send(number%daemons, "/one/safe/").status)
			if time.Since(start) > 160*time.Millisecond {
				late++
			}
			worker.update(func() { worker.disturbed = false })
			f.sendLoad("/one/safe/", 50*time.Millisecond, time.Second)
		}
		require.Zero(t, late)
		time.Sleep(time.Second)
		require.True(t, strings.Contains(f.logs.String(), `"hedge":"disturbed"`), "no hedge for a disturbed back end")
	})
}
