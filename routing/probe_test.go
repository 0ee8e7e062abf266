package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/tuliphall/tuliphall/internal/testseed"
)

const (
	testMaxReportAge  = 25 * time.Millisecond
	testProbeInterval = 20 * time.Millisecond
)

// Only the back end that the next request would be sent to gets a load probe, and only if its last
// report is old.
func TestLoadProbeTargetIsNextPickWithOldReport(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Zone: "here", Slots: 3, Window: 3}, Backend{ID: "b", Zone: "there", Slots: 3, Window: 3})
	for _, id := range []string{"a", "b"} {
		group.RecordReport(group.byID[id], Report{Slowdown: 1}, false, start)
	}
	_, wanted := group.LoadProbeTarget(start.Add(time.Second), testMaxReportAge, testProbeInterval)
	require.False(t, wanted, "there have been no requests")
	picked := mustPick(t, group, start, "here")
	group.Done(picked, start, Canceled, 0)

	_, wanted = group.LoadProbeTarget(start.Add(testMaxReportAge-1), testMaxReportAge, testProbeInterval)
	require.False(t, wanted, "the report is fresh")
	later := start.Add(testMaxReportAge)
	target, wanted := group.LoadProbeTarget(later, testMaxReportAge, testProbeInterval)
	require.True(t, wanted)
	require.Equal(t, "a", target)
	_, wanted = group.LoadProbeTarget(later.Add(time.Second), testMaxReportAge, testProbeInterval)
	require.False(t, wanted, "a probe is in progress")

	group.RecordLoadProbe(later, "a", Report{Slowdown: 5})
	target, wanted = group.LoadProbeTarget(later, testMaxReportAge, testProbeInterval)
	require.True(t, wanted)
	require.Equal(t, "b", target, "a disturbed back end is not picked next")
	group.RecordLoadProbeFailure("b")
	_, wanted = group.LoadProbeTarget(later.Add(testProbeInterval-1), testMaxReportAge, testProbeInterval)
	require.False(t, wanted, "the interval has not passed")
}

// With requests and probe results in any order, there are never more load probes than requests have
// earned, nor two probes of a back end within the interval. The names of the actions determine the
// order in which rapid draws them.
func TestLoadProbesKeepCreditAndInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3}, Backend{ID: "b", Slots: 3, Window: 3}, Backend{ID: "c", Slots: 3, Window: 3})
		now, picks, probes := start, 0, 0
		lastProbe := make(map[string]time.Time)
		inProgress := make(map[string]bool)
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
				target, wanted := group.LoadProbeTarget(now, testMaxReportAge, testProbeInterval)
				if !wanted {
					return
				}
				probes++
				require.False(t, inProgress[target])
				if before, probed := lastProbe[target]; probed {
					require.GreaterOrEqual(t, now.Sub(before), testProbeInterval)
				}
				lastProbe[target], inProgress[target] = now, true
			},
			"probe ends": func(t *rapid.T) {
				id := ids.Draw(t, "back end")
				inProgress[id] = false
				if rapid.Bool().Draw(t, "reported") {
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

// Every other load probe asks a back end that has not reported yet for its first report, up to
// maxIntroductions times each.
func TestUnreportedBackendsAreProbedForFirstReport(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3}, Backend{ID: "b", Slots: 3, Window: 3}, Backend{ID: "c", Slots: 3, Window: 3})
	group.RecordReport(group.byID["a"], Report{Slowdown: 1}, false, start)
	now, probes := start, make(map[string]int)
	for range 60 {
		now = now.Add(time.Second)
		picked := mustPick(t, group, now, "")
		group.Done(picked, now, Canceled, 0)
		for range 2 {
			target, wanted := group.LoadProbeTarget(now, testMaxReportAge, testProbeInterval)
			if !wanted {
				continue
			}
			probes[target]++
			if target == "c" {
				group.RecordLoadProbeFailure(target)
				continue
			}
			group.RecordLoadProbe(now, target, Report{Slowdown: 1})
		}
		now = now.Add(testProbeInterval)
	}
	require.Positive(t, probes["b"])
	require.GreaterOrEqual(t, probes["c"], maxIntroductions)
	require.Equal(t, maxIntroductions, group.byID["c"].introductions)
	require.False(t, group.byID["b"].reportedAt.IsZero())
}
