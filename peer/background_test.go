package peer

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNoTaskStartsAfterEnd guards against a task that is started while the end of the others is awaited, which the race
// detector reported in a daemon that was ending, and which can panic.
func TestNoTaskStartsAfterEnd(t *testing.T) {
	for range 1000 {
		var group background
		var starting sync.WaitGroup
		started := 0
		for range 4 {
			starting.Go(func() {
				group.start(func() {})
			})
		}
		group.end()
		starting.Wait()
		group.start(func() { started++ })
		group.end()
		require.Zero(t, started)
	}
}
