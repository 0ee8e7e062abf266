package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPlacesAreMeasuredWhileRequestsWait lets back ends serve half of what their slots say:
// the longer requests wait, the more what comes free counts.
func TestPlacesAreMeasuredWhileRequestsWait(t *testing.T) {
	const pace = 5 * time.Millisecond // 200 places a second, of which 100 come free
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	queue := NewQueue(1000)
	served := func(now time.Time) float64 { return queue.trafficOf(now, 1, pace).served }
	waiting := &Ticket{Weight: 1, Deadline: start.Add(time.Minute), FirstTry: start}
	queue.Offer(start, waiting, pace)
	require.InDelta(t, 200, served(start), 1)
	for number := range 100 {
		queue.RecordRelease(start.Add(time.Duration(number+1) * 10 * time.Millisecond))
		if number == 49 {
			require.InDelta(t, 150, served(start.Add(500*time.Millisecond)), 5)
		}
	}
	require.InDelta(t, 100, served(start.Add(time.Second)), 5)
	queue.Remove(waiting)
	require.InDelta(t, 200, served(start.Add(time.Second+2*saturationGap)), 1, "nobody waits any more")
}

// TestNothingIsKnownBeforeTheFirstPlace lets requests wait behind one that lasts for
// seconds at the only back end: that no place has come free is no reason to refuse them.
func TestNothingIsKnownBeforeTheFirstPlace(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	queue := NewQueue(1000)
	for number := range 100 {
		now := start.Add(time.Duration(number) * 10 * time.Millisecond)
		queue.RecordArrival(now, 1)
		verdict, _ := queue.Offer(now, &Ticket{Weight: 1, Deadline: now.Add(10 * time.Second), FirstTry: now}, time.Millisecond)
		require.Equal(t, Queued, verdict)
		require.Empty(t, queue.Shed(now, time.Millisecond))
	}
}
