package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/clock"
)

// TestBoot checks that Boot runs as fast as the monotonic clock while the machine is not suspended,
// and that its times resemble wall clock times.
func TestBoot(t *testing.T) {
	monotonic, boot := time.Now(), clock.Boot()
	require.WithinDuration(t, monotonic, boot, time.Minute)
	time.Sleep(20 * time.Millisecond)
	require.InDelta(t, time.Since(monotonic).Seconds(), clock.Boot().Sub(boot).Seconds(), 0.01)
}

func TestOrMonotonic(t *testing.T) {
	require.NotNil(t, clock.OrMonotonic(nil))
	fixed := time.Unix(7, 0)
	require.Equal(t, fixed, clock.OrMonotonic(func() time.Time { return fixed })())
}

func BenchmarkBoot(b *testing.B) {
	for b.Loop() {
		clock.Boot()
	}
}

// TestWallElapsedExceeds compares times whose monotonic readings are equal while the wall clock continued.
func TestWallElapsedExceeds(t *testing.T) {
	earlier := time.Now()
	require.False(t, clock.WallElapsedExceeds(earlier, earlier.Add(time.Second), 2*time.Second))
	require.True(t, clock.WallElapsedExceeds(earlier, earlier.Round(0).Add(3*time.Second), 2*time.Second))
	require.False(t, clock.WallElapsedExceeds(earlier, earlier.Round(0).Add(-3*time.Second), 2*time.Second))
}
