package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReleaseRateIsMeasuredUnderSaturation simulates back ends that serve half of what their slots
// suggest. The longer requests have been waiting, the closer the estimate is to the measured rate.
func TestReleaseRateIsMeasuredUnderSaturation(t *testing.T) {
	const serviceInterval = 5 * time.Millisecond // suggests 200 releases per second, of which 100 happen
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	queue := NewQueue(1000)
	releasesPerSecond := func(now time.Time) float64 { return queue.contentionFor(now, 1, serviceInterval).releasesPerSecond }
	waiting := &Ticket{Weight: 1, Deadline: start.Add(time.Minute), FirstTry: start}
	queue.Offer(start, waiting, serviceInterval)
	require.InDelta(t, 200, releasesPerSecond(start), 1)
	for i := range 100 {
		queue.RecordRelease(start.Add(time.Duration(i+1) * 10 * time.Millisecond))
		if i == 49 {
			require.InDelta(t, 150, releasesPerSecond(start.Add(500*time.Millisecond)), 5)
		}
	}
	require.InDelta(t, 100, releasesPerSecond(start.Add(time.Second)), 5)
	queue.Remove(waiting)
	require.InDelta(t, 200, releasesPerSecond(start.Add(time.Second+2*saturationGap)), 1, "the queue has been empty for longer than saturationGap")
}

// TestNoRefusalBeforeFirstRelease guards against refusing requests because there has been no
// release yet. They wait behind one that occupies the only back end for seconds.
func TestNoRefusalBeforeFirstRelease(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	queue := NewQueue(1000)
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		queue.RecordArrival(now, 1)
		verdict, _ := queue.Offer(now, &Ticket{Weight: 1, Deadline: now.Add(10 * time.Second), FirstTry: now}, time.Millisecond)
		require.Equal(t, Queued, verdict)
		require.Empty(t, queue.Shed(now, time.Millisecond))
	}
}
