package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A back end whose process has exited is ejected at once. A trial is due after exitEjection, the
// time that a restart takes; a response reinstates the back end.
func TestExitEjectsAtOnce(t *testing.T) {
	var d Detector
	d.RecordExit(start)
	require.True(t, d.Ejected(start))
	require.True(t, d.HasExited())
	require.False(t, d.TrialDue(start.Add(exitEjection-time.Millisecond)))
	require.True(t, d.TrialDue(start.Add(exitEjection)))
	d.RecordTrial(start.Add(exitEjection))
	d.RecordConnectionRefused(start.Add(exitEjection))
	require.True(t, d.HasExited())
	require.False(t, d.TrialDue(start.Add(2*exitEjection-time.Millisecond)))
	d.RecordSuccess()
	require.Equal(t, Detector{}, d)
}

// Two refused connections in a row count as an exit, unless the back end has responded in between.
func TestConsecutiveRefusalsCountAsExit(t *testing.T) {
	var d Detector
	d.RecordConnectionRefused(start)
	d.RecordSuccess()
	d.RecordConnectionRefused(start)
	require.False(t, d.Ejected(start))
	d.RecordConnectionRefused(start)
	require.True(t, d.HasExited())
}

// A back end is ejected after consecutive failures, but does not count as exited.
func TestFailuresDoNotCountAsExit(t *testing.T) {
	var d Detector
	for range consecutiveThreshold {
		require.False(t, d.Ejected(start))
		d.RecordFailure(start)
	}
	require.True(t, d.Ejected(start))
	require.False(t, d.HasExited())
	require.True(t, d.TrialDue(start.Add(baseEjection)))
}
