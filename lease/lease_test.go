package lease_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/lease"
	"github.com/tuliphall/tuliphall/objectstore"
)

// maintained renews or takes a lease and says whether it is held then.
func maintained(t *testing.T, one *lease.Lease) bool {
	t.Helper()
	require.NoError(t, one.Maintain(t.Context()))
	return one.Valid()
}

// TestRestartedHolderGoesOn gives a lease at once to the daemon that held it before it
// restarted, and to another only after its lifetime.
func TestRestartedHolderGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.NewMemory()
		require.True(t, maintained(t, lease.New(store, "duty", "edge-1@10.0.0.1:7000")))
		other := lease.New(store, "duty", "edge-2@10.0.0.2:7000")
		require.False(t, maintained(t, other))
		time.Sleep(time.Second)
		require.False(t, maintained(t, lease.New(store, "duty", "edge-1@10.0.0.9:7000")), "the same name elsewhere")
		restarted := lease.New(store, "duty", "edge-1@10.0.0.1:7000")
		require.True(t, maintained(t, restarted))

		time.Sleep(lease.Lifetime - 2*time.Second)
		require.False(t, maintained(t, other), "it was renewed meanwhile")
		time.Sleep(lease.Lifetime)
		require.False(t, restarted.Valid())
		require.True(t, maintained(t, other))
		require.False(t, maintained(t, restarted), "another has it now")
	})
}
