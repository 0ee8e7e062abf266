package objectstub_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/lab/objectstub"
)

// TestVersionStaysRolledBackAfterStoreRollback loses the decision to roll a bad version back, or the whole rollout
// order, in a rollback of the store: the version gets no more requests, and the decision is recorded again.
func TestVersionStaysRolledBackAfterStoreRollback(t *testing.T) {
	var count atomic.Int64
	failsHalf := func(*http.Request) bool { return count.Add(1)%2 == 0 }
	for _, test := range []struct {
		name string
		// snapshotDelay is the time after the order at which the snapshot is taken; 0: right before the order.
		snapshotDelay time.Duration
		// rewrites: the operator writes the order again.
		rewrites bool
	}{
		{name: "the order was lost and is written again", rewrites: true},
		{name: "the decision was lost", snapshotDelay: time.Second},
		{name: "the decision was lost, and the order is written again", snapshotDelay: time.Second, rewrites: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			runRollouts(t, func(f *fleet) {
				stop := f.startSteadyLoad(100)
				defer stop()
				time.Sleep(time.Second)
				snapshot := f.store.Snapshot()
				started := f.startNewVersion(failsHalf)
				if test.snapshotDelay > 0 {
					time.Sleep(test.snapshotDelay)
					snapshot = f.store.Snapshot()
				}
				f.awaitState("rolled_back")
				time.Sleep(2 * time.Second)
				exposed := f.totalOf(started)
				f.restoreStoreAndEntries(snapshot, started)
				if test.rewrites {
					time.Sleep(rewriteDelay)
					f.startRollout()
				}
				f.awaitState("rolled_back")
				time.Sleep(rolloutDuration)
				require.Equal(t, exposed, f.totalOf(started), "the version got requests again")
			})
		})
	}
}

// awaitState waits until the rollout has a state in the store.
func (f *fleet) awaitState(state string) {
	start := time.Now()
	for f.rolloutState() != state {
		require.Less(f.t, time.Since(start), 2*rolloutDuration)
		time.Sleep(10 * time.Millisecond)
	}
}

// restoreStoreAndEntries restores a snapshot of the store, after which back ends rewrite their entries.
func (f *fleet) restoreStoreAndEntries(snapshot objectstub.Snapshot, rewritten []*worker) {
	f.restoreStore(snapshot)
	time.Sleep(time.Second)
	for _, worker := range rewritten {
		f.writeEntry(worker, "ready")
	}
}
