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
		parts = parts.Next(at(milliseconds), alive, all, alive)
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
	require.InDelta(t, 0.25, backendlimit.Parts{}.Next(start, 8, 10, 2).Region, 1e-9)
	require.Equal(t, 1.0, backendlimit.Parts{}.Next(start, 0, 0, 0).Region, "no more than all")
	require.Zero(t, backendlimit.Parts{}.Next(start.Add(time.Second), 1, 4, 1).Since)
}
