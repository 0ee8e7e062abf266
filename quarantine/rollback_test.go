package quarantine

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/objectstore"
)

// TestQuarantineIsSavedAgainAfterStoreRollback rolls the store back, which loses the quarantined requests: the
// trackers must save them again within 5 s, with one write in total.
func TestQuarantineIsSavedAgainAfterStoreRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.NewMemory()
		backup := store.Snapshot()
		ctx, cancel := context.WithCancel(t.Context())
		var trackers []*Tracker
		for range 3 {
			tracker := NewTracker(Options{
				Policy: Policy{CrashThreshold: 3, Duration: time.Hour, CrashWindow: 15 * time.Minute}, Store: store, StoreTimeout: time.Second,
				ReadsStore: func() bool { return true }, Broadcast: func(Record) {}, Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
			})
			trackers = append(trackers, tracker)
			go tracker.Run(ctx)
		}
		identity := Identity{Method: "GET", Target: "/a"}
		for number := range 3 {
			trackers[0].RecordCrash(identity.Fingerprints(), identity, "board", RunOf(fmt.Sprint(number), 0))
			time.Sleep(time.Second)
		}
		for _, record := range trackers[0].Records(10) {
			for _, peer := range trackers[1:] {
				peer.Merge([]Record{record})
			}
		}
		time.Sleep(5 * time.Second)
		saved, err := store.Get(ctx, Key)
		require.NoError(t, err)
		store.RollBack(backup)
		time.Sleep(5 * time.Second)
		restored, err := store.Get(ctx, Key)
		require.NoError(t, err)
		require.JSONEq(t, string(saved.Value), string(restored.Value))
		require.EqualValues(t, 1, restored.Version.Revision())
		cancel()
		synctest.Wait()
	})
}
