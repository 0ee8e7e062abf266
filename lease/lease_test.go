package lease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/lease"
	"github.com/tuliphall/tuliphall/objectstore"
)

// acquireOrRenew renews or acquires a lease and reports whether it is held then.
func acquireOrRenew(t *testing.T, holder *lease.Lease) bool {
	t.Helper()
	require.NoError(t, holder.AcquireOrRenew(t.Context()))
	return holder.Valid()
}

// TestRestartedHolderReacquiresAtOnce checks that a daemon that held the lease before it restarted acquires it again
// at once, and another daemon only after its lifetime.
func TestRestartedHolderReacquiresAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.NewMemory()
		require.True(t, acquireOrRenew(t, lease.New(store, "duty", "edge-1@10.0.0.1:7000", nil)))
		other := lease.New(store, "duty", "edge-2@10.0.0.2:7000", nil)
		require.False(t, acquireOrRenew(t, other))
		time.Sleep(time.Second)
		require.False(t, acquireOrRenew(t, lease.New(store, "duty", "edge-1@10.0.0.9:7000", nil)), "same name at another address")
		restarted := lease.New(store, "duty", "edge-1@10.0.0.1:7000", nil)
		require.True(t, acquireOrRenew(t, restarted))

		time.Sleep(lease.Lifetime - 2*time.Second)
		require.False(t, acquireOrRenew(t, other), "it was renewed in the meantime")
		time.Sleep(lease.Lifetime)
		require.False(t, restarted.Valid())
		require.True(t, acquireOrRenew(t, other))
		require.False(t, acquireOrRenew(t, restarted), "another daemon holds it now")
	})
}

// suspendedClock is the clock of a machine that is suspended, during which the monotonic clock stops.
type suspendedClock struct{ suspended time.Duration }

func (s *suspendedClock) now() time.Time {
	return time.Now().Add(s.suspended)
}

// TestLeaseOfSuspendedMachineExpires suspends the machine of a lease's holder. The lease must be invalid
// before other daemons may acquire it, although the monotonic clock has not advanced.
func TestLeaseOfSuspendedMachineExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, suspension := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second} {
			store := objectstore.NewMemory()
			machine := &suspendedClock{}
			holder := lease.New(store, "duty", "edge-1@10.0.0.1:7000", machine.now)
			require.True(t, acquireOrRenew(t, holder))
			machine.suspended = suspension
			require.Equal(t, suspension < lease.Lifetime-2*time.Second, holder.Valid(), suspension)
			require.Equal(t, holder.Valid(), holder.Remaining() > 0)
		}
	})
}

// daemonStore is the store as seen by one daemon, which learns of a new era only with its own calls.
type daemonStore struct {
	*objectstore.Memory
	knownEra uint64
}

// Era implements objectstore.Store.
func (s *daemonStore) Era() uint64 { return s.knownEra }

// Get implements objectstore.Store.
func (s *daemonStore) Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error) {
	s.knownEra = s.Memory.Era()
	return s.Memory.Get(ctx, key)
}

// Put implements objectstore.Store.
func (s *daemonStore) Put(ctx context.Context, key objectstore.Key, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	s.knownEra = s.Memory.Era()
	return s.Memory.Put(ctx, key, value, expected)
}

// TestAtMostOneHolderAfterStoreRollback rolls the store back, so that the lease is missing or is that of an earlier
// holder. No two daemons may hold it at the same time, whenever they learn of the rollback, and one must hold it soon
// after all have learned of it.
func TestAtMostOneHolderAfterStoreRollback(t *testing.T) {
	for _, test := range []struct {
		name string
		// backupHasEarlierLease: the backup holds the lease of the daemon that held it before.
		backupHasEarlierLease bool
		// holderDelay is the time until the holder next calls the store, and otherDelay that until the other daemon does.
		holderDelay, otherDelay time.Duration
	}{
		{name: "the lease is missing, the holder learns first", otherDelay: 2 * time.Second},
		{name: "the lease is missing, the holder learns last", holderDelay: 2 * time.Second},
		{name: "the lease is missing, the holder does not learn of it", holderDelay: time.Minute},
		{name: "the lease is that of an earlier holder, which learns first", backupHasEarlierLease: true, holderDelay: 2 * time.Second},
		{name: "the lease is that of an earlier holder, the holder does not learn of it", backupHasEarlierLease: true, holderDelay: time.Minute},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := objectstore.NewMemory()
				holder, other := lease.New(&daemonStore{Memory: memory}, "duty", "edge-1", nil), lease.New(&daemonStore{Memory: memory}, "duty", "edge-2", nil)
				backup := memory.Snapshot()
				if test.backupHasEarlierLease {
					require.True(t, acquireOrRenew(t, other))
					backup = memory.Snapshot()
				}
				require.Equal(t, test.backupHasEarlierLease, !acquireOrRenew(t, holder))
				for !acquireOrRenew(t, holder) {
					time.Sleep(time.Second)
				}
				require.False(t, acquireOrRenew(t, other))
				memory.RollBack(backup)
				rolledBackAt := time.Now()
				heldAgain := false
				for tick := 0; time.Since(rolledBackAt) < 3*lease.Lifetime; tick++ {
					if since := time.Since(rolledBackAt); since >= test.holderDelay && tick%30 == 0 {
						acquireOrRenew(t, holder)
					}
					if since := time.Since(rolledBackAt); since >= test.otherDelay && tick%30 == 10 {
						acquireOrRenew(t, other)
					}
					require.False(t, holder.Valid() && other.Valid(), time.Since(rolledBackAt))
					heldAgain = heldAgain || tick > 100 && (holder.Valid() || other.Valid())
					time.Sleep(100 * time.Millisecond)
				}
				require.True(t, heldAgain)
				require.True(t, holder.Valid() || other.Valid())
			})
		})
	}
}

// TestStoreRollbackInvalidatesLease checks that a lease is invalid as soon as its holder learns of the store
// rollback, whatever its clock says, and valid again after the next renewal.
func TestStoreRollbackInvalidatesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.NewMemory()
		backup := store.Snapshot()
		holder := lease.New(store, "duty", "edge-1", nil)
		require.True(t, acquireOrRenew(t, holder))
		store.RollBack(backup)
		require.False(t, holder.Valid())
		require.LessOrEqual(t, holder.Remaining(), time.Duration(0))
		require.True(t, acquireOrRenew(t, holder))
	})
}
