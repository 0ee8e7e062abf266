package dissemination

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWatchesAreRenewedInTurn follows the watchers for a while after news that all
// heard at once: one of them renews its watch in every gap.
func TestWatchesAreRenewedInTurn(t *testing.T) {
	const gap = 600 * time.Millisecond
	for _, watchers := range []int{1, 3, 13, 18, 20} {
		renewals := make(map[time.Duration]int)
		for place := range watchers {
			at := time.Duration(0)
			for fresh := true; at < 2*time.Duration(watchers)*gap; fresh = false {
				at += watchLength(gap, place, watchers, fresh)
				renewals[at]++
			}
		}
		for turn := 1; turn <= 2*watchers; turn++ {
			require.Equal(t, 1, renewals[time.Duration(turn)*gap], "%d watchers, turn %d", watchers, turn)
		}
	}
}

// TestWatchLengthIsBounded keeps a watch within what a store allows.
func TestWatchLengthIsBounded(t *testing.T) {
	require.Equal(t, longestWatch, watchLength(0, 0, 18, true), "without a gap")
	require.Equal(t, longestWatch, watchLength(time.Second, 849, 850, true))
	require.Equal(t, time.Second, watchLength(time.Second, 0, 0, false), "a daemon that knows nobody")
}
