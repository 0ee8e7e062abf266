package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestPeekNMatchesPopOrder checks that PeekN returns the tickets in the order in which Pop
// removes them.
func TestPeekNMatchesPopOrder(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	rapid.Check(t, func(t *rapid.T) {
		queue := NewQueue(100)
		for range rapid.IntRange(0, 40).Draw(t, "tickets") {
			firstTry := now.Add(-time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second)
			ticket := &Ticket{Weight: rapid.IntRange(0, 3).Draw(t, "weight"), Deadline: now.Add(time.Hour), Expiry: now.Add(time.Hour), FirstTry: firstTry}
			queue.Offer(now, ticket, time.Millisecond)
		}
		limit := rapid.IntRange(0, 50).Draw(t, "limit")
		peeked := queue.PeekN(limit)
		var popped []*Ticket
		for len(popped) < limit && queue.Len() > 0 {
			popped = append(popped, queue.Pop())
		}
		require.True(t, slices.Equal(popped, peeked))
	})
}
