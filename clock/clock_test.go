package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/clock"
)

// TestBootGoesOn goes as fast as the steady clock while the machine is awake, and reads like a time
// of day.
func TestBootGoesOn(t *testing.T) {
	steady, boot := time.Now(), clock.Boot()
	require.WithinDuration(t, steady, boot, time.Minute)
	time.Sleep(20 * time.Millisecond)
	require.InDelta(t, time.Since(steady).Seconds(), clock.Boot().Sub(boot).Seconds(), 0.01)
}

func TestNoClockIsTheSteadyOne(t *testing.T) {
	require.NotNil(t, clock.OrMonotonic(nil))
	fixed := time.Unix(7, 0)
	require.Equal(t, fixed, clock.OrMonotonic(func() time.Time { return fixed })())
}

func BenchmarkBoot(b *testing.B) {
	for b.Loop() {
		clock.Boot()
	}
}

// TestSlept compares readings whose steady clock stood still while the time of day went on.
func TestSlept(t *testing.T) {
	earlier := time.Now()
	require.False(t, clock.WallElapsedExceeds(earlier, earlier.Add(time.Second), 2*time.Second))
	require.True(t, clock.WallElapsedExceeds(earlier, earlier.Round(0).Add(3*time.Second), 2*time.Second))
	require.False(t, clock.WallElapsedExceeds(earlier, earlier.Round(0).Add(-3*time.Second), 2*time.Second))
}
