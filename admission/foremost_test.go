package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestForemostAreThoseThatGoNext returns the tickets in the order in which Next takes them out.
func TestForemostAreThoseThatGoNext(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	rapid.Check(t, func(t *rapid.T) {
		queue := NewQueue(100)
		for range rapid.IntRange(0, 40).Draw(t, "waiting") {
			first := now.Add(-time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second)
			ticket := &Ticket{Weight: rapid.IntRange(0, 3).Draw(t, "weight"), Deadline: now.Add(time.Hour), Expiry: now.Add(time.Hour), FirstTry: first}
			queue.Offer(now, ticket, time.Millisecond)
		}
		most := rapid.IntRange(0, 50).Draw(t, "most")
		foremost := queue.PeekN(most)
		var next []*Ticket
		for len(next) < most && queue.Len() > 0 {
			next = append(next, queue.Pop())
		}
		require.True(t, slices.Equal(next, foremost))
	})
}
