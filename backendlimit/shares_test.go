package backendlimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backendlimit"
)

// TestRejoinedDaemonsEndPartition verifies that the return of unreachable daemons counts as the end of a partition,
// however many return at a time, and that the usual membership changes do not.
func TestRejoinedDaemonsEndPartition(t *testing.T) {
	var shares backendlimit.Shares
	update := func(milliseconds, alive, all int) {
		shares = shares.Next(at(milliseconds), alive, all, alive, at(milliseconds))
	}
	update(0, 100, 100)
	require.Equal(t, backendlimit.FullShares.Reachable, shares.Reachable)
	update(250, 99, 100)
	update(500, 100, 100)
	update(750, 110, 110)
	require.Zero(t, shares.PartitionedUntil, "one daemon was replaced, and others have joined")
	update(1000, 50, 110)
	require.InDelta(t, 50.0/110, shares.Reachable, 1e-9)
	require.Zero(t, shares.PartitionedUntil, "no daemons have become reachable again")
	update(1250, 53, 110)
	require.Zero(t, shares.PartitionedUntil)
	update(1500, 56, 110)
	require.Equal(t, at(1500), shares.PartitionedUntil)
	update(1750, 110, 110)
	require.Equal(t, at(1750), shares.PartitionedUntil)
	update(2000, 110, 110)
	require.Equal(t, at(1750), shares.PartitionedUntil)
}

// TestRegionShareIsProportionalToDaemons verifies that a region's share is proportional to its daemons.
func TestRegionShareIsProportionalToDaemons(t *testing.T) {
	require.InDelta(t, 0.25, backendlimit.Shares{}.Next(start, 8, 10, 2, start).Region, 1e-9)
	require.Equal(t, 1.0, backendlimit.Shares{}.Next(start, 0, 0, 0, start).Region, "the share is at most 1")
	require.Zero(t, backendlimit.Shares{}.Next(start.Add(time.Second), 1, 4, 1, start).PartitionedUntil)
}

// TestFrozenDaemonCountsAsPartitioned verifies that PartitionedUntil follows the current time while a daemon gets no
// message from any member that it believes to be alive, as after a freeze that it has not noticed. Once it believes
// all of them to be dead, it has its own share.
func TestFrozenDaemonCountsAsPartitioned(t *testing.T) {
	shares := backendlimit.Shares{}.Next(at(1000), 4, 4, 4, at(100))
	require.Zero(t, shares.PartitionedUntil, "the last message is recent")
	for _, milliseconds := range []int{4000, 4250} {
		shares = shares.Next(at(milliseconds), 4, 4, 4, at(100))
		require.Equal(t, at(milliseconds), shares.PartitionedUntil)
	}
	shares = shares.Next(at(4500), 4, 4, 4, at(4400))
	require.Equal(t, at(4250), shares.PartitionedUntil)
	shares = shares.Next(at(9000), 1, 4, 1, at(4400))
	require.Equal(t, at(4250), shares.PartitionedUntil)
	require.InDelta(t, 0.25, shares.Reachable, 1e-9)
}
