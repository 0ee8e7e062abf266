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

// maintained renews or takes a lease and says whether it is held then.
func maintained(t *testing.T, one *lease.Lease) bool {
	t.Helper()
	require.NoError(t, one.AcquireOrRenew(t.Context()))
	return one.Valid()
}

// TestRestartedHolderGoesOn gives a lease at once to the daemon that held it before it
// restarted, and to another only after its lifetime.
func TestRestartedHolderGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.NewMemory()
		require.True(t, maintained(t, lease.New(store, "duty", "edge-1@10.0.0.1:7000", nil)))
		other := lease.New(store, "duty", "edge-2@10.0.0.2:7000", nil)
		require.False(t, maintained(t, other))
		time.Sleep(time.Second)
		require.False(t, maintained(t, lease.New(store, "duty", "edge-1@10.0.0.9:7000", nil)), "the same name elsewhere")
		restarted := lease.New(store, "duty", "edge-1@10.0.0.1:7000", nil)
		require.True(t, maintained(t, restarted))

		time.Sleep(lease.Lifetime - 2*time.Second)
		require.False(t, maintained(t, other), "it was renewed meanwhile")
		time.Sleep(lease.Lifetime)
		require.False(t, restarted.Valid())
		require.True(t, maintained(t, other))
		require.False(t, maintained(t, restarted), "another has it now")
	})
}

// sleeper is the clock of a machine that sleeps: the steady clock stands meanwhile.
type sleeper struct{ slept time.Duration }

func (s *sleeper) now() time.Time {
	return time.Now().Add(s.slept)
}

// TestSleepingHolderHasNoRight holds the lease while its machine sleeps: as soon as others may take
// it over, the holder may not act, though the steady clock has not moved.
func TestSleepingHolderHasNoRight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, slept := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second} {
			store := objectstore.NewMemory()
			machine := &sleeper{}
			held := lease.New(store, "duty", "edge-1@10.0.0.1:7000", machine.now)
			require.True(t, maintained(t, held))
			machine.slept = slept
			require.Equal(t, slept < lease.Lifetime-2*time.Second, held.Valid(), slept)
			require.Equal(t, held.Valid(), held.Remaining() > 0)
		}
	})
}

// fleetStore is a store as one daemon knows it: of a new era the daemon hears with its own calls only.
type fleetStore struct {
	*objectstore.Memory
	known uint64
}

// Era implements objectstore.Store.
func (s *fleetStore) Era() uint64 { return s.known }

// Get implements objectstore.Store.
func (s *fleetStore) Get(ctx context.Context, key objectstore.Key) (objectstore.Object, error) {
	s.known = s.Memory.Era()
	return s.Memory.Get(ctx, key)
}

// Put implements objectstore.Store.
func (s *fleetStore) Put(ctx context.Context, key objectstore.Key, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	s.known = s.Memory.Era()
	return s.Memory.Put(ctx, key, value, expected)
}

// TestLostLeaseHasOneHolder lets the store come back without the lease, or with one that another daemon held before: no two daemons
// hold it at any time, whenever they hear of the return, and one does soon after all have.
func TestLostLeaseHasOneHolder(t *testing.T) {
	for _, one := range []struct {
		name string
		// earlier: the copy holds the lease of the daemon that had it before.
		earlier bool
		// late is after how long the holder next asks the store, and other after how long the other daemon does.
		late, other time.Duration
	}{
		{name: "the lease is missing, the holder hears first", other: 2 * time.Second},
		{name: "the lease is missing, the holder hears last", late: 2 * time.Second},
		{name: "the lease is missing, the holder does not hear", late: time.Minute},
		{name: "the lease is that of an earlier holder, which hears first", earlier: true, late: 2 * time.Second},
		{name: "the lease is that of an earlier holder, the holder does not hear", earlier: true, late: time.Minute},
	} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := objectstore.NewMemory()
				held, other := lease.New(&fleetStore{Memory: memory}, "duty", "edge-1", nil), lease.New(&fleetStore{Memory: memory}, "duty", "edge-2", nil)
				copied := memory.Copy()
				if one.earlier {
					require.True(t, maintained(t, other))
					copied = memory.Copy()
				}
				require.Equal(t, one.earlier, !maintained(t, held))
				for !maintained(t, held) {
					time.Sleep(time.Second)
				}
				require.False(t, maintained(t, other))
				memory.ComeBackOlder(copied)
				returned := time.Now()
				taken := false
				for tick := 0; time.Since(returned) < 3*lease.Lifetime; tick++ {
					if since := time.Since(returned); since >= one.late && tick%30 == 0 {
						maintained(t, held)
					}
					if since := time.Since(returned); since >= one.other && tick%30 == 10 {
						maintained(t, other)
					}
					require.False(t, held.Valid() && other.Valid(), time.Since(returned))
					taken = taken || tick > 100 && (held.Valid() || other.Valid())
					time.Sleep(100 * time.Millisecond)
				}
				require.True(t, taken)
				require.True(t, held.Valid() || other.Valid())
			})
		})
	}
}

// TestHolderThatHearsOfReturnHasNoRight ends the right of a holder as soon as its daemon knows that the store came back older, whatever
// its clock says, and gives it back with the next renewal.
func TestHolderThatHearsOfReturnHasNoRight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objectstore.NewMemory()
		copied := store.Copy()
		held := lease.New(store, "duty", "edge-1", nil)
		require.True(t, maintained(t, held))
		store.ComeBackOlder(copied)
		require.False(t, held.Valid())
		require.LessOrEqual(t, held.Remaining(), time.Duration(0))
		require.True(t, maintained(t, held))
	})
}
