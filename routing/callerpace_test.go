package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStalledCallersDoNotEjectBackend guards against a back end that is taken for failed because callers stop half-way.
func TestStalledCallersDoNotEjectBackend(t *testing.T) {
	for outcome, ejected := range map[Outcome]bool{CallerStalled: false, Unserved: true} {
		group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3})
		now := start
		for range 20 {
			picked, ok := group.Pick(now, Request{})
			if !ok {
				break
			}
			now = now.Add(2 * time.Second)
			group.Done(picked, now, outcome, 0)
		}
		require.Equal(t, ejected, group.State("a").Ejected(now), outcome)
	}
}

// TestStalledCallersLeaveNoSilence guards against a request that was given up and counts as a failure of its back end, because
// callers stopped half-way before.
func TestStalledCallersLeaveNoSilence(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3})
	state := group.State("a")
	now := start
	for range 20 {
		group.RecordReport(state, Report{Slowdown: 1}, false, now)
		answered := mustPick(t, group, now, "")
		now = now.Add(serviceTime)
		group.Done(answered, now, Success, serviceTime)
		stalled, other := mustPick(t, group, now, ""), mustPick(t, group, now, "")
		now = now.Add(2 * time.Second)
		group.Done(stalled, now, CallerStalled, 0)
		group.Done(other, now.Add(time.Millisecond), Canceled, 0)
	}
	require.False(t, state.Ejected(now))
}

// TestCallersPaceIsNotLearned guards against fewer requests at a back end because callers take their responses slowly when many
// are in flight.
func TestCallersPaceIsNotLearned(t *testing.T) {
	for outcome, lowered := range map[Outcome]bool{AnsweredAtCallersPace: false, Success: true} {
		group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3})
		now := start
		for range 200 {
			for inFlight := 1; inFlight <= 3; inFlight++ {
				var picks []PickResult
				for range inFlight {
					if picked, ok := group.Pick(now, Request{}); ok {
						picks = append(picks, picked)
					}
				}
				ends, duration := Success, serviceTime
				if len(picks) == 3 {
					ends, duration = outcome, 30*serviceTime
				}
				now = now.Add(duration)
				for _, picked := range picks {
					group.Done(picked, now, ends, serviceTime)
				}
			}
		}
		require.Equal(t, lowered, group.BestInFlight("a") < 3, outcome)
	}
}
