package logging_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/logging"
)

// TestDeduplicator guards against logging a key twice, and against recording keys without limit.
func TestDeduplicator(t *testing.T) {
	logged := logging.NewDeduplicator[int](100)
	require.True(t, logged.FirstSeen(1))
	require.False(t, logged.FirstSeen(1))
	require.True(t, logged.FirstSeen(2))
	logged.Retain(func(key int) bool { return key == 2 })
	require.True(t, logged.FirstSeen(1))
	require.False(t, logged.FirstSeen(2))
	first := 0
	for key := range 100_000 {
		if logged.FirstSeen(key) {
			first++
		}
	}
	require.Equal(t, 98, first, "two keys are already recorded")
}
