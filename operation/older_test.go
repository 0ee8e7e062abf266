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

// TestClaimIsNotGrantedAgainWhenStoreComesBackOlder lets the store lose claims and outcomes, and lets other daemons ask for the same keys
// at once and later: none gets a claim, and the recorded answer is back.
func TestClaimIsNotGrantedAgainWhenStoreComesBackOlder(t *testing.T) {
	for _, one := range []struct {
		name string
		// journal: the copy holds a part of the journal, which the other daemon has read. starts: the other daemon
		// starts after the return. twice: there are two returns.
		journal, starts, twice bool
	}{
		{name: "the whole journal is lost"},
		{name: "the end of the journal is lost", journal: true},
		{name: "the other daemon starts after the return", journal: true, starts: true},
		{name: "the store comes back older twice", journal: true, twice: true},
	} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := objectstore.NewMemory()
				first, other := newExecutor(store), newExecutor(store)
				defer first.Close(t.Context())
				copied := store.Copy()
				if one.journal {
					require.NotNil(t, claimed(t, first, "early"))
					require.Nil(t, claimed(t, other, "early"))
					copied = store.Copy()
				}
				require.NotNil(t, claimed(t, first, "running"))
				claimed(t, first, "done").Finish(operation.Result{Status: 201, Body: []byte("done"), Complete: true})
				time.Sleep(time.Second)

				store.ComeBackOlder(copied)
				if one.starts {
					other.Close(t.Context())
					other = newExecutor(store)
				}
				defer other.Close(t.Context())
				for returned := time.Now(); time.Since(returned) < 20*time.Second; time.Sleep(100 * time.Millisecond) {
					for _, key := range []string{"running", "done"} {
						require.Nil(t, claimed(t, other, key), "%s, %s after the return", key, time.Since(returned))
					}
					if since := time.Since(returned); one.twice && since > 7*time.Second && since < 8*time.Second {
						store.ComeBackOlder(copied)
					}
				}
				_, result, failure := other.Claim(t.Context(), "swaps", "done", 1)
				require.Nil(t, failure)
				require.Equal(t, "done", string(result.Body))
				_, _, failure = other.Claim(t.Context(), "swaps", "running", 1)
				require.Equal(t, resultcode.OperationUnknown, failure.Code)
				require.NotNil(t, claimed(t, other, "new"), "others are claimed as before")
			})
		})
	}
}

// claimed claims a key, and returns nil where that is refused.
func claimed(t *testing.T, executor *operation.Claimer, key string) *operation.Claim {
	claim, _, _ := executor.Claim(t.Context(), "swaps", key, 1)
	return claim
}

// TestClaimsAreRefusedWhileLostOnesMayBeMissing says at once that an operation has not run, and when to come back, while
// other daemons may not have written their lost claims again.
func TestClaimsAreRefusedWhileLostOnesMayBeMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.NewMemory()
		executor := newExecutor(store)
		defer executor.Close(t.Context())
		require.NotNil(t, claimed(t, executor, "early"))
		store.ComeBackOlder(store.Copy())
		begun := time.Now()
		_, _, failure := executor.Claim(t.Context(), "swaps", "new", 1)
		require.Equal(t, resultcode.StoreUnavailable, failure.Code)
		require.Less(t, time.Since(begun), 100*time.Millisecond)
		require.Positive(t, failure.RetryAfter)
		time.Sleep(failure.RetryAfter)
		require.NotNil(t, claimed(t, executor, "new"))
	})
}
