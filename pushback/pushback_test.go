package pushback_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backend"
	"github.com/tuliphall/tuliphall/pushback"
)

var (
	start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	key   = backend.Key{Service: "board", Backend: "i-1"}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// TestParseRetryAfter checks the interpretation of regular, borderline and invalid values.
func TestParseRetryAfter(t *testing.T) {
	for name, test := range map[string]struct {
		values    []string
		want      time.Duration
		wantError string
	}{
		"seconds":                     {values: []string{"4"}, want: 4 * time.Second},
		"fractions":                   {values: []string{"0.25"}, want: 250 * time.Millisecond},
		"surrounding spaces":          {values: []string{" 4 "}, want: 4 * time.Second},
		"zero":                        {values: []string{"0"}},
		"absent":                      {},
		"date":                        {values: []string{"Tue, 01 Jan 2030 00:00:07 GMT"}, want: 7 * time.Second},
		"date in the past":            {values: []string{"Tue, 01 Jan 2019 00:00:07 GMT"}},
		"date in the distant future":  {values: []string{"Tue, 01 Jan 2099 00:00:07 GMT"}, want: pushback.MaxPause},
		"huge":                        {values: []string{"1e300"}, want: pushback.MaxPause},
		"two values: the longer":      {values: []string{"2", "4"}, want: 4 * time.Second},
		"one of two values invalid":   {values: []string{"soon", "4"}, want: 4 * time.Second},
		"empty":                       {values: []string{""}, wantError: `value ""`},
		"word":                        {values: []string{"soon"}, wantError: `value "soon"`},
		"negative":                    {values: []string{"-1"}, wantError: `value "-1"`},
		"not a number":                {values: []string{"NaN"}, wantError: `value "NaN"`},
		"infinite":                    {values: []string{"Inf"}, wantError: `value "Inf"`},
		"out of the range of a float": {values: []string{"1e309"}, wantError: `value "1e309"`},
		"hexadecimal":                 {values: []string{"0x10"}, wantError: `value "0x10"`},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := pushback.ParseRetryAfter(test.values, start)
			if test.wantError != "" {
				require.ErrorContains(t, err, test.wantError)
			} else {
				require.NoError(t, err)
			}
			require.Equal(t, test.want, got)
		})
	}
}

// FuzzParseRetryAfter checks that no value yields a negative pause or one longer than MaxPause.
func FuzzParseRetryAfter(f *testing.F) {
	for _, seed := range []string{"4", "0", "-0", "1e309", "Tue, 01 Jan 2030 00:00:07 GMT", ".5", "5e-324"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		got, err := pushback.ParseRetryAfter([]string{value}, start)
		if err != nil {
			require.Zero(t, got)
		}
		require.GreaterOrEqual(t, got, time.Duration(0))
		require.LessOrEqual(t, got, pushback.MaxPause)
	})
}

func isPaused(table *pushback.Table, now time.Time, started int64) bool {
	_, paused := table.ActivePause(now, key, started)
	return paused
}

// TestPauseLastsUntilLatestEnd guards against a pause being shortened by a shorter one that is requested
// later, or lasting beyond the latest end.
func TestPauseLastsUntilLatestEnd(t *testing.T) {
	table := pushback.NewTable()
	require.True(t, table.RecordPause(at(0), key, 4*time.Second, 1, "r1", 0))
	require.False(t, table.RecordPause(at(1), key, time.Second, 1, "r2", 0), "a shorter pause does not replace a longer one")
	require.True(t, isPaused(table, at(3.9), 1))
	require.False(t, isPaused(table, at(4), 1))
	require.False(t, table.RecordPause(at(3), key, 4*time.Second, 1, "r3", 0), "the pause continues")
	pause, paused := table.ActivePause(at(6.9), key, 1)
	require.True(t, paused)
	require.Equal(t, at(0), pause.Since)
	require.Equal(t, "r3", pause.RequestID)
	require.Equal(t, []string{"i-1"}, table.PausedBackends(at(6.9), "board"))
	require.Empty(t, table.PausedBackends(at(7), "board"))
	require.Zero(t, table.Prune(at(7)))
	require.True(t, table.RecordPause(at(9), key, time.Second, 1, "r4", 0), "a new pause")
}

// TestPauseAppliesToOneRun guards against a restarted back end getting no requests because of a pause that
// its earlier run requested.
func TestPauseAppliesToOneRun(t *testing.T) {
	table := pushback.NewTable()
	table.RecordPause(at(0), key, time.Minute, 1, "r1", 0)
	require.False(t, isPaused(table, at(1), 2))
	require.True(t, table.RecordPause(at(2), key, 4*time.Second, 2, "r2", 0))
	require.False(t, table.RecordPause(at(3), key, time.Minute, 1, "r3", 0), "a late response of the earlier run")
	require.True(t, isPaused(table, at(5), 2))
	require.False(t, isPaused(table, at(6), 2))
}

// TestPausesAreExtendedRandomly checks that pauses are extended by a random amount, and never shortened, so that
// daemons do not all resume together.
func TestPausesAreExtendedRandomly(t *testing.T) {
	for name, test := range map[string]struct{ asked, maximum time.Duration }{
		"short pause": {asked: time.Second, maximum: 1100 * time.Millisecond},
		"long pause":  {asked: time.Minute, maximum: time.Minute + 500*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			for _, draw := range []float64{0, 0.5, 0.999} {
				table := pushback.NewTable()
				table.RecordPause(at(0), key, test.asked, 1, "", draw)
				pause, paused := table.ActivePause(at(0), key, 1)
				require.True(t, paused)
				require.GreaterOrEqual(t, pause.Until.Sub(at(0)), test.asked)
				require.LessOrEqual(t, pause.Until.Sub(at(0)), test.maximum)
			}
		})
	}
}
