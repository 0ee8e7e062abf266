package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against ejecting a back end because one daemon cannot reach it: a failed connection counts
// against a back end only if that has answered nobody meanwhile.
func TestUnreachedBackendThatAnswersOthersIsNotEjected(t *testing.T) {
	for _, answers := range []bool{true, false} {
		group := newSlowStartGroup(1, Backend{ID: "a", Slots: 8, Warm: true}, Backend{ID: "b", Slots: 8, Warm: true})
		state, now := group.State("a"), start
		for range 20 {
			permitted := now
			picked, ok := group.Pick(now, Request{Excluded: []Exclusion{{Backend: "b"}}})
			if !ok {
				break
			}
			now = now.Add(250 * time.Millisecond)
			if answers {
				state.answeredAt = now.Add(-100 * time.Millisecond)
			}
			group.Done(picked, now, group.AttributeNoContact(picked, permitted), 0)
		}
		require.Equal(t, !answers, state.Ejected(now))
	}
}

// Nothing is learned from a request whose daemon could reach no back end: the next trial of an ejected
// back end is not delayed, and its failures do not count.
func TestUnreachedTeachesNothing(t *testing.T) {
	group := newSlowStartGroup(1, Backend{ID: "a", Slots: 2, Warm: true})
	for range 50 {
		picked, ok := group.Pick(start, Request{})
		require.True(t, ok)
		group.Done(picked, start, Unreached, 0)
	}
	state := group.State("a")
	require.False(t, state.Ejected(start))
	require.Zero(t, state.InFlight)
	for range 5 {
		state.health.RecordFailure(start)
	}
	now := start.Add(time.Second)
	for range 3 {
		trial, ok := group.Pick(now, Request{Repeatable: true})
		require.True(t, ok)
		group.Done(trial, now, Unreached, 0)
	}
	trial, ok := group.Pick(now, Request{Repeatable: true})
	require.True(t, ok)
	group.Done(trial, now, Success, time.Millisecond)
	require.False(t, state.Ejected(now))
}

// A health probe that could not be sent does not count against a back end that answers requests.
func TestUnansweredProbeOfAnsweringBackend(t *testing.T) {
	for _, answers := range []bool{true, false} {
		group := newSlowStartGroup(1, Backend{ID: "a", Slots: 2, Warm: true}, Backend{ID: "b", Slots: 2, Warm: true})
		now := start
		for range 10 {
			sent := now
			now = now.Add(time.Second)
			if answers {
				picked, ok := group.Pick(now, Request{Excluded: []Exclusion{{Backend: "b"}}})
				require.True(t, ok)
				group.Done(picked, now, Success, time.Millisecond)
			}
			group.RecordUnansweredProbe(now, "a", sent)
		}
		require.Equal(t, !answers, group.State("a").Ejected(now))
	}
}
