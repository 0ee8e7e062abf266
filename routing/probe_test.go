package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/tuliphall/tuliphall/internal/testseed"
)

const (
	freshness = 25 * time.Millisecond
	spacing   = 20 * time.Millisecond
)

// A load probe goes to the back end that the next request would be sent to if its report is old,
// and to no other.
func TestStaleTargetIsTheNextChoice(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Zone: "here", Slots: 3, Window: 3}, Backend{ID: "b", Zone: "there", Slots: 3, Window: 3})
	for _, id := range []string{"a", "b"} {
		group.RecordReport(group.byID[id], Report{Slowdown: 1}, false, start)
	}
	_, wanted := group.LoadProbeTarget(start.Add(time.Second), freshness, spacing)
	require.False(t, wanted, "no requests come")
	picked := mustPick(t, group, start, "here")
	group.Done(picked, start, Canceled, 0)

	_, wanted = group.LoadProbeTarget(start.Add(freshness-1), freshness, spacing)
	require.False(t, wanted, "the report is fresh")
	later := start.Add(freshness)
	target, wanted := group.LoadProbeTarget(later, freshness, spacing)
	require.True(t, wanted)
	require.Equal(t, "a", target)
	_, wanted = group.LoadProbeTarget(later.Add(time.Second), freshness, spacing)
	require.False(t, wanted, "a probe is under way")

	group.RecordLoadProbe(later, "a", Report{Slowdown: 5})
	target, wanted = group.LoadProbeTarget(later, freshness, spacing)
	require.True(t, wanted)
	require.Equal(t, "b", target, "a disturbed back end is not the next choice")
	group.RecordLoadProbeFailure("b")
	_, wanted = group.LoadProbeTarget(later.Add(spacing-1), freshness, spacing)
	require.False(t, wanted, "it was probed just now")
}

// With requests and probe results in any order there are never more load probes than requests earn,
// nor two of the same back end within the interval.
func TestProbesAreEarnedAndSpaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3}, Backend{ID: "b", Slots: 3, Window: 3}, Backend{ID: "c", Slots: 3, Window: 3})
		now, picks, probes := start, 0, 0
		last := make(map[string]time.Time)
		underWay := make(map[string]bool)
		ids := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				picked, ok := group.Pick(now, Request{Zone: rapid.SampledFrom([]string{"here", "there"}).Draw(t, "zone")})
				if !ok {
					return
				}
				picks++
				group.Done(picked, now, Canceled, 0)
			},
			"probe": func(t *rapid.T) {
				target, wanted := group.LoadProbeTarget(now, freshness, spacing)
				if !wanted {
					return
				}
				probes++
				require.False(t, underWay[target])
				if before, probed := last[target]; probed {
					require.GreaterOrEqual(t, now.Sub(before), spacing)
				}
				last[target], underWay[target] = now, true
			},
			"probe ends": func(t *rapid.T) {
				id := ids.Draw(t, "back end")
				underWay[id] = false
				if rapid.Bool().Draw(t, "told") {
					group.RecordLoadProbe(now, id, Report{Slowdown: rapid.Float64Range(0.5, 6).Draw(t, "slowdown")})
					return
				}
				group.RecordLoadProbeFailure(id)
			},
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, probes, probeCreditPerPick*picks)
			},
		})
	})
}

// Back ends that have not reported yet are asked for a first report every other time, up to
// maxIntroductions times.
func TestNewBackendsAreIntroduced(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3}, Backend{ID: "b", Slots: 3, Window: 3}, Backend{ID: "c", Slots: 3, Window: 3})
	group.RecordReport(group.byID["a"], Report{Slowdown: 1}, false, start)
	now, asked := start, make(map[string]int)
	for range 60 {
		now = now.Add(time.Second)
		picked := mustPick(t, group, now, "")
		group.Done(picked, now, Canceled, 0)
		for range 2 {
			target, wanted := group.LoadProbeTarget(now, freshness, spacing)
			if !wanted {
				continue
			}
			asked[target]++
			if target == "c" {
				group.RecordLoadProbeFailure(target)
				continue
			}
			group.RecordLoadProbe(now, target, Report{Slowdown: 1})
		}
		now = now.Add(spacing)
	}
	require.Positive(t, asked["b"])
	require.GreaterOrEqual(t, asked["c"], maxIntroductions)
	require.Equal(t, maxIntroductions, group.byID["c"].introductions)
	require.False(t, group.byID["b"].reportedAt.IsZero())
}
