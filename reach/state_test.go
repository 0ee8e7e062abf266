package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	address = "10.0.0.1:80"
	other   = "10.0.0.2:80"
)

// after returns the time this long after the start.
func after(duration time.Duration) time.Time {
	return start.Add(duration)
}

// cutOffState returns the state of a daemon that has been cut off since the start.
func cutOffState(t *testing.T) *State {
	t.Helper()
	state := NewState()
	state.RecordFailure(start, address, start)
	require.Equal(t, roundSize, state.DueChecks(start))
	require.True(t, state.RecordRound(start, start, roundSize, roundSize))
	return state
}

// One failed connection, or a round in which any back end was reached, does not mean a cut.
func TestCutOffOnlyWhenAllChecksFail(t *testing.T) {
	for _, test := range []struct {
		name   string
		checks int
		record func(state *State)
		want   bool
	}{
		{"no check succeeds", roundSize, func(*State) {}, true},
		{"a check succeeds", roundSize, func(state *State) { state.RecordContact(after(time.Millisecond), other) }, false},
		{"an open connection answers", roundSize, func(state *State) { state.RecordAnswer(after(time.Millisecond), other) }, false},
		{"too few back ends", minRoundSize - 1, func(*State) {}, false},
	} {
		state := NewState()
		state.RecordContact(start.Add(-time.Second), address)
		state.RecordFailure(start, address, start)
		require.Equal(t, roundSize, state.DueChecks(start), test.name)
		test.record(state)
		require.Equal(t, test.want, state.RecordRound(after(250*time.Millisecond), start, roundSize, test.checks), test.name)
		require.Equal(t, test.want, !state.CutOffSince().IsZero(), test.name)
		require.Equal(t, !test.want, state.Direct(after(2*time.Second), other), test.name)
	}
}

// A connection that fails while other back ends answer raises no suspicion of a cut.
func TestFailureDuringContactStartsNoRound(t *testing.T) {
	state := NewState()
	state.RecordAnswer(after(100*time.Millisecond), other)
	state.RecordFailure(after(250*time.Millisecond), address, start)
	require.Zero(t, state.DueChecks(after(250*time.Millisecond)))
}

// Any contact ends a cut at once.
func TestContactEndsCut(t *testing.T) {
	state := cutOffState(t)
	require.False(t, state.Direct(start, other))
	require.False(t, state.Reaches(other))
	require.False(t, state.Credible(start))
	require.True(t, state.RecordContact(after(time.Second), address))
	require.True(t, state.Direct(after(time.Second), other))
	require.True(t, state.Reaches(other))
	require.True(t, state.Credible(after(time.Second)))
	require.False(t, state.RecordContact(after(time.Second), address), "reported once")
}

// A daemon that is cut off checks at intervals whether it reaches a back end again.
func TestChecksDuringCutAreSpaced(t *testing.T) {
	state := cutOffState(t)
	checks := 0
	for passed := time.Duration(0); passed < 10*time.Second; passed += 10 * time.Millisecond {
		checks += state.DueChecks(after(passed))
	}
	require.LessOrEqual(t, checks, int(10*time.Second/cutOffCheckInterval)*cutOffChecks)
	require.GreaterOrEqual(t, checks, int(10*time.Second/cutOffCheckInterval-1)*cutOffChecks)
}

// Rounds of checks are spaced however often connections fail.
func TestRoundsAreSpaced(t *testing.T) {
	state := NewState()
	rounds := 0
	for passed := time.Duration(0); passed < time.Second; passed += time.Millisecond {
		state.RecordFailure(after(passed), address, after(passed))
		if state.DueChecks(after(passed)) > 0 {
			rounds++
			state.RecordContact(after(passed), other) // the round reached a back end
		}
	}
	require.LessOrEqual(t, rounds, int(time.Second/minRoundInterval))
}

// Silence on all connections is checked by one connection, and later if back ends usually take long.
func TestSilenceIsChecked(t *testing.T) {
	for _, test := range []struct {
		answerTime time.Duration
		want       time.Duration // silence after which a check is due
	}{{10 * time.Millisecond, minSilence}, {500 * time.Millisecond, 2 * time.Second}, {time.Minute, maxSilence}} {
		state := NewState()
		now := start
		for range 100 {
			state.RecordSend(now)
			now = now.Add(test.answerTime)
			state.RecordAnswer(now, address)
		}
		require.Zero(t, state.DueChecks(now.Add(time.Hour)), "nothing is awaited")
		state.RecordSend(now)
		require.Zero(t, state.DueChecks(now.Add(test.want-100*time.Millisecond)))
		require.Equal(t, 1, state.DueChecks(now.Add(test.want+100*time.Millisecond)))
	}
}

// After a failed connection the next attempts go through another daemon. If that reaches the back end,
// they go on to do so until a connection of this daemon is opened; otherwise the back end is at fault.
func TestPathIsBypassedOnlyWhileOthersReachBackend(t *testing.T) {
	state := NewState()
	state.RecordContact(after(100*time.Millisecond), other)
	state.RecordFailure(after(250*time.Millisecond), address, start)
	require.False(t, state.Direct(after(300*time.Millisecond), address))
	require.True(t, state.Direct(after(300*time.Millisecond), other))
	require.False(t, state.Reaches(address))
	require.False(t, state.Bypassed(address), "not known yet who is at fault")
	require.Equal(t, []string{address}, state.DuePaths(after(time.Second), 1))
	state.RecordFailure(after(1250*time.Millisecond), address, after(time.Second)) // the check
	require.False(t, state.Direct(after(5*time.Second), address), "no connection has been opened since")
	state.RecordContact(after(5*time.Second), address)
	require.True(t, state.Direct(after(5*time.Second), address))

	state.RecordFailure(after(2*time.Second), address, after(1900*time.Millisecond))
	state.RecordBypass(address, true)
	require.False(t, state.Direct(after(5*time.Second), address))
	require.False(t, state.Reaches(address))
	require.Equal(t, []string{address}, state.DuePaths(after(5*time.Second), 1))
	require.Empty(t, state.DuePaths(after(5*time.Second), 1), "checks are spaced")
	state.RecordContact(after(6*time.Second), address)
	require.True(t, state.Direct(after(6*time.Second), address))

	state.RecordFailure(after(7*time.Second), address, after(6900*time.Millisecond))
	state.RecordBypass(address, true)
	state.RecordBypass(address, false)
	require.False(t, state.Bypassed(address), "the back end is at fault")
}

// The number of failed paths is bounded.
func TestPathsAreBounded(t *testing.T) {
	state := NewState()
	for number := range 2 * maxPaths {
		state.RecordFailure(start, fmt.Sprintf("10.0.0.1:%d", number), start)
	}
	require.Len(t, state.paths, maxPaths)
}

// Guards against checking the path to a back end that is gone for ever.
func TestUnusedPathIsForgotten(t *testing.T) {
	for _, bypassed := range []bool{false, true} {
		state := NewState()
		state.RecordFailure(start, address, start)
		if bypassed {
			state.RecordBypass(address, true)
		}
		require.False(t, state.Direct(after(time.Second), address))
		checks := 0
		for passed := time.Second; passed < time.Hour; passed += pathCheckInterval {
			for range state.DuePaths(after(passed), 1) {
				checks++
				state.RecordFailure(after(passed), address, after(passed)) // the check fails, too
			}
		}
		require.LessOrEqual(t, checks, int(pathRetention/pathCheckInterval))
		require.Empty(t, state.paths)
		require.True(t, state.Direct(after(time.Hour), address))
	}
}

// Other back ends are checked when several paths have failed, and not again and again.
func TestSweepFollowsSeveralBypassedPaths(t *testing.T) {
	state := NewState()
	state.RecordFailure(start, address, start)
	require.Zero(t, state.DueSweep(start), "nobody else has reached the back end")
	state.RecordBypass(address, true)
	require.Zero(t, state.DueSweep(start), "a single path")
	state.RecordFailure(start, other, start)
	state.RecordBypass(other, true)
	require.Equal(t, sweepSize, state.DueSweep(start))
	state.RecordBypass(other, true)
	require.Zero(t, state.DueSweep(after(time.Hour)), "both are known")
	state.RecordFailure(after(time.Second), "10.0.0.3:80", start)
	state.RecordBypass("10.0.0.3:80", true)
	require.Zero(t, state.DueSweep(after(time.Second)), "sweeps are spaced")
	require.Equal(t, sweepSize, state.DueSweep(after(minSweepInterval)))
}

// A daemon's failure to reach a back end says something about that back end only if it has had
// contact with others.
func TestOnlyContactMakesFailureCredible(t *testing.T) {
	state := NewState()
	require.False(t, state.Credible(start))
	state.RecordContact(start, other)
	require.True(t, state.Credible(after(contactAge-time.Millisecond)))
	require.False(t, state.Credible(after(contactAge)))
}

// Guards against checking the few back ends of a small service without pause while none of them accepts connections.
func TestRoundsOfTooFewBackendsAreSpaced(t *testing.T) {
	state := NewState()
	rounds := 0
	for passed := time.Duration(0); passed < 10*time.Second; passed += 10 * time.Millisecond {
		state.RecordFailure(after(passed), address, after(passed))
		if state.DueChecks(after(passed)) > 0 {
			rounds++
			require.False(t, state.RecordRound(after(passed), after(passed), roundSize, minRoundSize-1))
		}
	}
	require.LessOrEqual(t, rounds, int(10*time.Second/inconclusiveRoundInterval))
}

// A failed check because of silence is followed by a round at once.
func TestFailedSilenceCheckStartsRound(t *testing.T) {
	state := NewState()
	state.RecordSend(start)
	now := after(minSilence)
	require.Equal(t, 1, state.DueChecks(now))
	state.RecordFailure(now, address, now)
	require.False(t, state.RecordRound(now, now, 1, 1))
	require.Equal(t, roundSize, state.DueChecks(now.Add(minRoundInterval)))
}
