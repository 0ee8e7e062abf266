package objectstub_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/lab/objectstub"
)

// TestRolledBackVersionStaysBackWhenStoreComesBackOlder lets the store lose that a bad version was taken back, or the whole order for it: it gets
// nothing again, and the decision is recorded again.
func TestRolledBackVersionStaysBackWhenStoreComesBackOlder(t *testing.T) {
	var count atomic.Int64
	half := func(*http.Request) bool { return count.Add(1)%2 == 0 }
	for _, one := range []struct {
		name string
		// copied is how long after the order the copy is taken; 0: right before it.
		copied time.Duration
		// writes: the operator writes the order again.
		writes bool
	}{
		{name: "the order was lost and is written again", writes: true},
		{name: "the decision was lost", copied: time.Second},
		{name: "the decision was lost, and the order is written again", copied: time.Second, writes: true},
	} {
		t.Run(one.name, func(t *testing.T) {
			runRollouts(t, func(f *fleet) {
				stop := f.steadyLoad(100)
				defer stop()
				time.Sleep(time.Second)
				copied := f.store.Snapshot()
				started := f.newVersion(half)
				if one.copied > 0 {
					time.Sleep(one.copied)
					copied = f.store.Snapshot()
				}
				f.awaitState("rolled_back")
				time.Sleep(2 * time.Second)
				exposed := f.totalOf(started)
				f.storeComesBackWith(copied, started)
				if one.writes {
					time.Sleep(writtenAgain)
					f.orderVersion()
				}
				f.awaitState("rolled_back")
				time.Sleep(rolloutTime)
				require.Equal(t, exposed, f.totalOf(started), "it got requests again")
			})
		})
	}
}

// awaitState waits until the system has written a state of the rollout.
func (f *fleet) awaitState(state string) {
	begun := time.Now()
	for f.state() != state {
		require.Less(f.t, time.Since(begun), 2*rolloutTime)
		time.Sleep(10 * time.Millisecond)
	}
}

// storeComesBackWith lets the store come back from a copy, to which back ends then write their entries again.
func (f *fleet) storeComesBackWith(copied objectstub.Snapshot, again []*worker) {
	f.storeComesBack(copied)
	time.Sleep(time.Second)
	for _, one := range again {
		f.announce(one, "ready")
	}
}
