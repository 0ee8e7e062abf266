package outlier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestEndedIsOutAtOnce leaves a back end out whose process has ended, until a trial after as long
// as a start takes, or an answer.
func TestEndedIsOutAtOnce(t *testing.T) {
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

// TestRefusalsInARow take a back end for ended after the second, unless it answered in between.
func TestRefusalsInARow(t *testing.T) {
	var d Detector
	d.RecordConnectionRefused(start)
	d.RecordSuccess()
	d.RecordConnectionRefused(start)
	require.False(t, d.Ejected(start))
	d.RecordConnectionRefused(start)
	require.True(t, d.HasExited())
}

// TestFailuresAreNoEnding: a back end that fails is ejected and not taken for ended.
func TestFailuresAreNoEnding(t *testing.T) {
	var d Detector
	for range consecutiveThreshold {
		require.False(t, d.Ejected(start))
		d.RecordFailure(start)
	}
	require.True(t, d.Ejected(start))
	require.False(t, d.HasExited())
	require.True(t, d.TrialDue(start.Add(baseEjection)))
}
