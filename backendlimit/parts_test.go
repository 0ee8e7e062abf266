package backendlimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backendlimit"
)

// TestPartsAfterACut notes when daemons are found again that were lost, however many come back at a time,
// and nothing where members come and go as usual.
func TestPartsAfterACut(t *testing.T) {
	var parts backendlimit.Shares
	reckon := func(milliseconds, alive, all int) {
		parts = parts.Next(at(milliseconds), alive, all, alive, at(milliseconds))
	}
	reckon(0, 100, 100)
	require.Equal(t, backendlimit.FullShares.Reachable, parts.Reachable)
	reckon(250, 99, 100)
	reckon(500, 100, 100)
	reckon(750, 110, 110)
	require.Zero(t, parts.PartitionedUntil, "one is replaced, and others join")
	reckon(1000, 50, 110)
	require.InDelta(t, 50.0/110, parts.Reachable, 1e-9)
	require.Zero(t, parts.PartitionedUntil, "what is lost counts by itself")
	reckon(1250, 53, 110)
	require.Zero(t, parts.PartitionedUntil)
	reckon(1500, 56, 110)
	require.Equal(t, at(1500), parts.PartitionedUntil)
	reckon(1750, 110, 110)
	require.Equal(t, at(1750), parts.PartitionedUntil)
	reckon(2000, 110, 110)
	require.Equal(t, at(1750), parts.PartitionedUntil)
}

// TestPartOfARegion gives a region as much as it has daemons.
func TestPartOfARegion(t *testing.T) {
	require.InDelta(t, 0.25, backendlimit.Shares{}.Next(start, 8, 10, 2, start).Region, 1e-9)
	require.Equal(t, 1.0, backendlimit.Shares{}.Next(start, 0, 0, 0, start).Region, "no more than all")
	require.Zero(t, backendlimit.Shares{}.Next(start.Add(time.Second), 1, 4, 1, start).PartitionedUntil)
}

// TestFrozenDaemonHasNoPart gives a daemon nothing while it has not heard any of the members that it takes for alive, as after a freeze
// that it has not noticed, and as soon as all are dead to it what is its own.
func TestFrozenDaemonHasNoPart(t *testing.T) {
	parts := backendlimit.Shares{}.Next(at(1000), 4, 4, 4, at(100))
	require.Zero(t, parts.PartitionedUntil, "it was told a moment ago")
	for _, milliseconds := range []int{4000, 4250} {
		parts = parts.Next(at(milliseconds), 4, 4, 4, at(100))
		require.Equal(t, at(milliseconds), parts.PartitionedUntil)
	}
	parts = parts.Next(at(4500), 4, 4, 4, at(4400))
	require.Equal(t, at(4250), parts.PartitionedUntil)
	parts = parts.Next(at(9000), 1, 4, 1, at(4400))
	require.Equal(t, at(4250), parts.PartitionedUntil)
	require.InDelta(t, 0.25, parts.Reachable, 1e-9)
}
