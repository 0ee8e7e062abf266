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

// TestHeldRequestsAreSavedAgainWhenStoreComesBackOlder lets the store lose which requests are held back: it has them again soon, by
// one write.
func TestHeldRequestsAreSavedAgainWhenStoreComesBackOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.NewMemory()
		copied := store.Copy()
		ctx, cancel := context.WithCancel(t.Context())
		var keepers []*Tracker
		for range 3 {
			keeper := NewTracker(Options{
				Policy: Policy{CrashThreshold: 3, Duration: time.Hour, CrashWindow: 15 * time.Minute}, Store: store, StoreTimeout: time.Second,
				ReadsStore: func() bool { return true }, Broadcast: func(Record) {}, Log: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
			})
			keepers = append(keepers, keeper)
			go keeper.Run(ctx)
		}
		identity := Identity{Method: "GET", Target: "/a"}
		for number := range 3 {
			keepers[0].RecordCrash(identity, "board", RunOf(fmt.Sprint(number), 0))
			time.Sleep(time.Second)
		}
		for _, record := range keepers[0].Records(10) {
			for _, other := range keepers[1:] {
				other.Merge([]Record{record})
			}
		}
		time.Sleep(5 * time.Second)
		saved, err := store.Get(ctx, Key)
		require.NoError(t, err)
		store.ComeBackOlder(copied)
		time.Sleep(5 * time.Second)
		again, err := store.Get(ctx, Key)
		require.NoError(t, err)
		require.JSONEq(t, string(saved.Value), string(again.Value))
		require.EqualValues(t, 1, again.Version.Revision())
		cancel()
		synctest.Wait()
	})
}
