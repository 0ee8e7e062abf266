package operation_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/objectstore"
	"github.com/tuliphall/tuliphall/operation"
	"github.com/tuliphall/tuliphall/resultcode"
)

// TestClaimIsNotGrantedAgainAfterStoreRollback rolls the store back, which loses claims and results. Another daemon
// claims the same keys, first at once and then repeatedly: no claim may be granted, and the recorded result must be
// available again.
func TestClaimIsNotGrantedAgainAfterStoreRollback(t *testing.T) {
	for _, test := range []struct {
		name string
		// partOfJournal: the backup holds a part of the journal, which the other daemon has read. startsLater: the
		// other daemon starts after the rollback. twice: there are two rollbacks.
		partOfJournal, startsLater, twice bool
	}{
		{name: "the whole journal is lost"},
		{name: "the end of the journal is lost", partOfJournal: true},
		{name: "the other daemon starts after the rollback", partOfJournal: true, startsLater: true},
		{name: "the store is rolled back twice", partOfJournal: true, twice: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := objectstore.NewMemory()
				first, other := newClaimer(store), newClaimer(store)
				defer first.Close(t.Context())
				backup := store.Snapshot()
				if test.partOfJournal {
					require.NotNil(t, tryClaim(t, first, "early"))
					require.Nil(t, tryClaim(t, other, "early"))
					backup = store.Snapshot()
				}
				require.NotNil(t, tryClaim(t, first, "running"))
				tryClaim(t, first, "done").Finish(operation.Result{Status: 201, Body: []byte("done"), Complete: true})
				time.Sleep(time.Second)

				store.RollBack(backup)
				if test.startsLater {
					other.Close(t.Context())
					other = newClaimer(store)
				}
				defer other.Close(t.Context())
				for rolledBackAt := time.Now(); time.Since(rolledBackAt) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
					for _, key := range []string{"running", "done"} {
						require.Nil(t, tryClaim(t, other, key), "%s, %s after the rollback", key, time.Since(rolledBackAt))
					}
					if since := time.Since(rolledBackAt); test.twice && since > 7*time.Second && since < 8*time.Second {
						store.RollBack(backup)
					}
				}
				_, result, failure := other.Claim(t.Context(), "swaps", "done", 1)
				require.Nil(t, failure)
				require.Equal(t, "done", string(result.Body))
				_, _, failure = other.Claim(t.Context(), "swaps", "running", 1)
				require.Equal(t, resultcode.OperationUnknown, failure.Code)
				require.NotNil(t, tryClaim(t, other, "new"), "claims of other keys must be granted")
			})
		})
	}
}

// tryClaim claims a key, and returns nil if the claim is refused.
func tryClaim(t *testing.T, claimer *operation.Claimer, key string) *operation.Claim {
	claim, _, _ := claimer.Claim(t.Context(), "swaps", key, 1)
	return claim
}

// TestClaimsAreRefusedDuringRollbackGracePeriod checks that during the grace period after a store rollback, while
// other daemons may not have written lost claims again, a claim is refused at once, so that the operation has
// certainly not run, and with a Retry-After.
func TestClaimsAreRefusedDuringRollbackGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.NewMemory()
		claimer := newClaimer(store)
		defer claimer.Close(t.Context())
		require.NotNil(t, tryClaim(t, claimer, "early"))
		store.RollBack(store.Snapshot())
		startedAt := time.Now()
		_, _, failure := claimer.Claim(t.Context(), "swaps", "new", 1)
		require.Equal(t, resultcode.StoreUnavailable, failure.Code)
		require.Less(t, time.Since(startedAt), 100*time.Millisecond)
		require.Positive(t, failure.RetryAfter)
		time.Sleep(failure.RetryAfter)
		require.NotNil(t, tryClaim(t, claimer, "new"))
	})
}
