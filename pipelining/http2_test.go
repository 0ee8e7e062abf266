package pipelining

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/tuliphall/tuliphall/overload"
)

// TestBufferedResponseIsNotTaken guards against a caller that takes nothing and does not count as stalled, because a refusal that
// net/http merely buffered was counted as taken.
func TestBufferedResponseIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		connection := overload.NewGuard(overload.Limits{}, tally.NoopScope).NewPool("caller", 0).Add(func() {})
		connection.BeginWrite() // of another response, which is not taken
		time.Sleep(time.Second)
		w := &streamWriter{ResponseWriter: httptest.NewRecorder(), connection: connection}
		_, err := w.Write(make([]byte, streamBufferBytes))
		require.NoError(t, err)
		require.True(t, connection.Stalled())
		_, err = w.Write(make([]byte, streamBufferBytes+1))
		require.NoError(t, err)
		require.False(t, connection.Stalled())
	})
}
