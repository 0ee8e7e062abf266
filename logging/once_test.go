package logging_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/logging"
)

// TestOnce says each thing once, until it is forgotten, and not more than can be remembered.
func TestOnce(t *testing.T) {
	once := logging.NewDeduplicator[int](100)
	require.True(t, once.FirstSeen(1))
	require.False(t, once.FirstSeen(1))
	require.True(t, once.FirstSeen(2))
	once.Retain(func(key int) bool { return key == 2 })
	require.True(t, once.FirstSeen(1))
	require.False(t, once.FirstSeen(2))
	said := 0
	for key := range 100_000 {
		if once.FirstSeen(key) {
			said++
		}
	}
	require.Equal(t, 98, said, "two are remembered")
}
