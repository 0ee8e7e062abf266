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
	var parts backendlimit.Parts
	reckon := func(milliseconds, alive, all int) {
		parts = parts.Next(at(milliseconds), alive, all, alive, at(milliseconds))
	}
	reckon(0, 100, 100)
	require.Equal(t, backendlimit.Whole.Reached, parts.Reached)
	reckon(250, 99, 100)
	reckon(500, 100, 100)
	reckon(750, 110, 110)
	require.Zero(t, parts.Since, "one is replaced, and others join")
	reckon(1000, 50, 110)
	require.InDelta(t, 50.0/110, parts.Reached, 1e-9)
	require.Zero(t, parts.Since, "what is lost counts by itself")
	reckon(1250, 53, 110)
	require.Zero(t, parts.Since)
	reckon(1500, 56, 110)
	require.Equal(t, at(1500), parts.Since)
	reckon(1750, 110, 110)
	require.Equal(t, at(1750), parts.Since)
	reckon(2000, 110, 110)
	require.Equal(t, at(1750), parts.Since)
}

// TestPartOfARegion gives a region as much as it has daemons.
func TestPartOfARegion(t *testing.T) {
	require.InDelta(t, 0.25, backendlimit.Parts{}.Next(start, 8, 10, 2, start).Region, 1e-9)
	require.Equal(t, 1.0, backendlimit.Parts{}.Next(start, 0, 0, 0, start).Region, "no more than all")
	require.Zero(t, backendlimit.Parts{}.Next(start.Add(time.Second), 1, 4, 1, start).Since)
}

// TestFrozenDaemonHasNoPart gives a daemon nothing while it has not heard any of the members that it takes for alive, as after a freeze
// that it has not noticed, and as soon as all are dead to it what is its own.
func TestFrozenDaemonHasNoPart(t *testing.T) {
	parts := backendlimit.Parts{}.Next(at(1000), 4, 4, 4, at(100))
	require.Zero(t, parts.Since, "it was told a moment ago")
	for _, milliseconds := range []int{4000, 4250} {
		parts = parts.Next(at(milliseconds), 4, 4, 4, at(100))
		require.Equal(t, at(milliseconds), parts.Since)
	}
	parts = parts.Next(at(4500), 4, 4, 4, at(4400))
	require.Equal(t, at(4250), parts.Since)
	parts = parts.Next(at(9000), 1, 4, 1, at(4400))
	require.Equal(t, at(4250), parts.Since)
	require.InDelta(t, 0.25, parts.Reached, 1e-9)
}
