package dissemination

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWatchesAreRenewedInTurn simulates the watchers after a change that all received at once: exactly one of
// them must renew its watch in every gap.
func TestWatchesAreRenewedInTurn(t *testing.T) {
	const gap = 600 * time.Millisecond
	for _, watchers := range []int{1, 3, 13, 18, 20} {
		renewals := make(map[time.Duration]int)
		for rank := range watchers {
			at := time.Duration(0)
			for afterChange := true; at < 2*time.Duration(watchers)*gap; afterChange = false {
				at += watchDuration(gap, rank, watchers, afterChange)
				renewals[at]++
			}
		}
		for turn := 1; turn <= 2*watchers; turn++ {
			require.Equal(t, 1, renewals[time.Duration(turn)*gap], "%d watchers, turn %d", watchers, turn)
		}
	}
}

// TestWatchDurationIsBounded checks that a watch never exceeds the maximum duration.
func TestWatchDurationIsBounded(t *testing.T) {
	require.Equal(t, maxWatchDuration, watchDuration(0, 0, 18, true), "without a gap")
	require.Equal(t, maxWatchDuration, watchDuration(time.Second, 849, 850, true))
	require.Equal(t, time.Second, watchDuration(time.Second, 0, 0, false), "a daemon that knows no other")
}
