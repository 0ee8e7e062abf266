package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const serviceTime = 100 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestGroup(backends ...Backend) *Group {
	group := NewGroup(Options{Picker: LeastLoad{}, Random: rand.New(rand.NewPCG(1, 2)), Overcommit: DefaultOvercommit})
	group.SetBackends(start, backends)
	return group
}

func mustPick(t *testing.T, group *Group, now time.Time, zone string) PickResult {
	t.Helper()
	picked, ok := group.Pick(now, Request{Zone: zone})
	require.True(t, ok)
	return picked
}

// Requests avoid a back end that has just reported a disturbance, until the report is old.
func TestDisturbedBackendIsAvoidedWhileReportIsFresh(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3}, Backend{ID: "b", Slots: 3, Window: 3})
	a, b := group.byID["a"], group.byID["b"]
	for range 50 {
		group.RecordReport(a, Report{Slowdown: 2}, false, start)
		group.RecordReport(b, Report{Slowdown: 2}, false, start)
	}
	group.RecordReport(a, Report{Slowdown: 5}, false, start)
	for range 2 {
		require.Equal(t, "b", mustPick(t, group, start, "").Backend.ID, "a disturbed back end was picked")
	}
	later := start.Add(2 * time.Second)
	require.InDelta(t, 2, a.slowdown.expected(later), 0.2)
	require.Equal(t, "a", mustPick(t, group, later, "").Backend.ID, "the report is old, and a has fewer requests in flight")
}

// Of equal back ends the one in the request's zone is picked, but not if it is disturbed.
func TestOwnZoneIsPreferredUnlessDisturbed(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Zone: "here", Slots: 3, Window: 3}, Backend{ID: "b", Zone: "there", Slots: 3, Window: 3})
	group.RecordReport(group.byID["a"], Report{Slowdown: 1}, false, start)
	group.RecordReport(group.byID["b"], Report{Slowdown: 1}, false, start)
	for range 20 {
		picked := mustPick(t, group, start, "here")
		require.Equal(t, "a", picked.Backend.ID)
		group.Done(picked, start, Canceled, 0)
	}
	group.RecordReport(group.byID["a"], Report{Slowdown: 3}, false, start)
	require.Equal(t, "b", mustPick(t, group, start, "here").Backend.ID)
}

// measureConcurrency simulates a back end that always has as many requests in flight as the group
// permits, and returns their mean number over the last rounds. With more than kneeAt in flight,
// each request takes slowdown times as long.
func measureConcurrency(slots, kneeAt int, slowdown float64) float64 {
	group := newTestGroup(Backend{ID: "a", Slots: slots, Window: slots})
	const rounds, measured = 600, 400
	now, sum := start, 0
	for round := range rounds {
		var picks []PickResult
		for picked, ok := group.Pick(now, Request{}); ok; picked, ok = group.Pick(now, Request{}) {
			picks = append(picks, picked)
		}
		if round >= rounds-measured {
			sum += len(picks)
		}
		latency := serviceTime
		if len(picks) > kneeAt {
			latency = time.Duration(slowdown * float64(serviceTime))
		}
		now = now.Add(latency)
		for _, picked := range picks {
			group.Done(picked, now, Success, latency)
		}
	}
	return float64(sum) / measured
}

// A back end gets as many requests in flight as it has the highest throughput with, apart from the
// occasional exploration of other numbers.
func TestConcurrencyIsLearned(t *testing.T) {
	for _, test := range []struct {
		slots, kneeAt int
		slowdown      float64
		want          float64
	}{
		{3, 3, 1, 3},
		{3, 2, 1.7, 2},
		{3, 2, 1.2, 3}, // slower, but with a higher throughput
		{6, 6, 1, 6},
		{6, 4, 1.7, 4},
		{6, 3, 2.5, 3}, // half of the slots is the lower bound
		{16, 8, 2.5, 8},
	} {
		measured := measureConcurrency(test.slots, test.kneeAt, test.slowdown)
		require.InDelta(t, test.want, measured, 0.12*test.want, "%d slots, %.1f times as slow beyond %d", test.slots, test.slowdown, test.kneeAt)
	}
}

// A slowdown that back ends report is not attributed to the number of requests in flight, so that
// disturbances do not lower the learned concurrency.
func TestConcurrencyEstimateIgnoresReportedSlowdown(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 4, Window: 4}, Backend{ID: "b", Slots: 4, Window: 4})
	random := rand.New(rand.NewPCG(3, 4))
	type running struct {
		picked PickResult
		ends   time.Time
	}
	slowdown := map[string]float64{"a": 1, "b": 1}
	var inFlight []running
	for tick := range 60_000 {
		now := start.Add(time.Duration(tick) * time.Millisecond)
		if tick%150 == 0 {
			for _, state := range group.states {
				slowdown[state.ID] = 1
				if random.Float64() < 0.25 {
					slowdown[state.ID] = 5
				}
			}
		}
		for _, state := range group.states {
			group.RecordReport(state, Report{Slowdown: slowdown[state.ID]}, false, now)
		}
		remaining := inFlight[:0]
		for _, request := range inFlight {
			if request.ends.After(now) {
				remaining = append(remaining, request)
				continue
			}
			group.Done(request.picked, now, Success, serviceTime)
		}
		inFlight = remaining
		if picked, ok := group.Pick(now, Request{}); ok {
			latency := time.Duration(slowdown[picked.Backend.ID] * float64(serviceTime))
			inFlight = append(inFlight, running{picked: picked, ends: now.Add(latency)})
		}
	}
	require.Equal(t, 4, group.concurrency.bySlots[4].best)
}

// A back end never has more requests in flight than its declared window, whatever it reports.
func TestDeclaredWindowIsNotExceeded(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 2})
	for range 100 {
		group.RecordReport(group.byID["a"], Report{InFlight: 0}, true, start)
	}
	mustPick(t, group, start, "")
	mustPick(t, group, start, "")
	_, ok := group.Pick(start, Request{})
	require.False(t, ok)
}

// Guards against sending many requests to a back end that accepts them and never responds. It
// appears idle whenever a request is abandoned.
func TestSilentBackendGetsFewRequests(t *testing.T) {
	group := newTestGroup(Backend{ID: "silent", Slots: 3, Window: 3}, Backend{ID: "responsive", Slots: 3, Window: 3})
	for _, state := range group.states {
		group.RecordReport(state, Report{Slowdown: 1}, false, start)
		state.recordLatency(serviceTime, 1)
	}
	now, silentPicks := start, 0
	for range 200 {
		picked := mustPick(t, group, now, "")
		if picked.Backend.ID == "silent" {
			silentPicks++
			now = now.Add(5 * serviceTime)
			group.Done(picked, now, Canceled, 0)
			continue
		}
		now = now.Add(serviceTime)
		group.Done(picked, now, Success, serviceTime)
		group.RecordReport(group.byID["responsive"], Report{Slowdown: 1}, false, now)
	}
	require.Less(t, silentPicks, 20)
}

// A back end that has just reported no disturbance is preferred to one that has not reported yet.
// Without a recent report of either, the one with fewer requests in flight is picked.
func TestUndisturbedIsPreferredToUnreported(t *testing.T) {
	group := newTestGroup(Backend{ID: "undisturbed", Slots: 3, Window: 3}, Backend{ID: "new", Slots: 3, Window: 3})
	group.RecordReport(group.byID["undisturbed"], Report{Slowdown: 1}, false, start)
	first := mustPick(t, group, start.Add(5*time.Millisecond), "")
	require.Equal(t, "undisturbed", first.Backend.ID)
	later := start.Add(2 * time.Second)
	require.Equal(t, "new", mustPick(t, group, later, "").Backend.ID, "the other has a request in flight, and its report is old")
}

// The slowdown expected of a back end whose only report is old is the average of what the back ends
// of the service report.
func TestOldReportDecaysToCommonSlowdown(t *testing.T) {
	var backends []Backend
	for number := range 20 {
		backends = append(backends, Backend{ID: string(rune('a' + number)), Slots: 3, Window: 3})
	}
	group := newTestGroup(backends...)
	for number, state := range group.states {
		slowdown := 1.0
		if number%4 == 0 {
			slowdown = 5
		}
		group.RecordReport(state, Report{Slowdown: slowdown}, false, start)
	}
	for _, state := range group.states[10:] {
		require.InDelta(t, 2, state.slowdown.expected(start.Add(time.Second)), 0.6)
	}
}

// A request that may run only once goes to another zone if a back end there has just reported that
// it is undisturbed. A repeatable one, which can be hedged, goes to a back end of its own zone
// whose report is 40 ms old.
func TestNonRepeatableRequestLeavesZoneForUndisturbedBackend(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		group := newTestGroup(Backend{ID: "near", Zone: "here", Slots: 3, Window: 3}, Backend{ID: "far", Zone: "there", Slots: 3, Window: 3})
		for _, state := range group.states {
			for range 200 {
				group.RecordReport(state, Report{Slowdown: 2.4}, false, start)
			}
		}
		group.RecordReport(group.byID["near"], Report{Slowdown: 1}, false, start)
		now := start.Add(40 * time.Millisecond)
		group.RecordReport(group.byID["far"], Report{Slowdown: 1}, false, now)
		picked, ok := group.Pick(now, Request{Zone: "here", Repeatable: repeatable})
		require.True(t, ok)
		require.Equal(t, map[bool]string{true: "near", false: "far"}[repeatable], picked.Backend.ID)
	}
}

// A back end without a response for its usual latency does not count as stalled, although the other
// back ends of the service are slower on average; after twice that latency it does.
func TestUsualLatencyDoesNotCountAsStall(t *testing.T) {
	group := newTestGroup(Backend{ID: "busy", Slots: 3, Window: 3}, Backend{ID: "other", Slots: 3, Window: 3})
	busy := group.byID["busy"]
	for number := range 100 {
		group.RecordReport(group.byID["other"], Report{Slowdown: []float64{1, 3}[number%2]}, false, start)
		group.RecordReport(busy, Report{Slowdown: 1}, false, start)
		busy.recordLatency(serviceTime, 1)
	}
	mustPick(t, group, start, "")
	busy.silentSince = start
	require.LessOrEqual(t, busy.stallSlowdown(start.Add(serviceTime)), 1.0)
	require.Greater(t, busy.stallSlowdown(start.Add(2*serviceTime)), 1.5)
}

// While the other back ends could serve all requests, a new one gets its first request within one
// second if it has reported that it is undisturbed, otherwise within two, or within three if no
// request can be hedged.
func TestNewBackendGetsFirstRequest(t *testing.T) {
	for _, test := range []struct {
		name       string
		repeatable bool
		reported   float64 // slowdown reported shortly before firstRequestDelay; 0: no report
		within     time.Duration
	}{
		{"undisturbed", false, 1, firstRequestDelay + 10*time.Millisecond},
		{"disturbed", true, 5, firstRequestHedgeableDelay + 10*time.Millisecond},
		{"no report", true, 0, firstRequestHedgeableDelay + 10*time.Millisecond},
		{"no report, requests not repeatable", false, 0, firstRequestMaxDelay + 10*time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3})
			group.RecordReport(group.byID["a"], Report{Slowdown: 1}, false, start)
			picked := mustPick(t, group, start, "")
			group.Done(picked, start, Success, serviceTime)
			group.SetBackends(start, []Backend{{ID: "a", Slots: 3, Window: 3}, {ID: "new", Slots: 3, Window: 3, Warm: true}})
			for now := start; now.Sub(start) <= test.within; now = now.Add(10 * time.Millisecond) {
				if test.reported > 0 && now.Sub(start) == firstRequestDelay-50*time.Millisecond {
					group.RecordReport(group.byID["new"], Report{Slowdown: test.reported}, false, now)
				}
				picked, ok := group.Pick(now, Request{Repeatable: test.repeatable})
				require.True(t, ok)
				if picked.Backend.ID == "new" {
					return
				}
				group.Done(picked, now, Success, serviceTime)
				group.RecordReport(picked.Backend, Report{Slowdown: 1}, false, now)
			}
			t.Fatal("the new back end got no request")
		})
	}
}

// A request is deferred while the only back end with free capacity has just reported a disturbance,
// until the report is old. It is not deferred if no other back end can get free capacity.
func TestRequestsAreDeferredWhileBackendIsDisturbed(t *testing.T) {
	group := newTestGroup(Backend{ID: "undisturbed", Slots: 1, Window: 1}, Backend{ID: "disturbed", Slots: 1, Window: 1})
	for range 50 {
		for _, state := range group.states {
			group.RecordReport(state, Report{Slowdown: 2}, false, start)
		}
	}
	group.RecordReport(group.byID["undisturbed"], Report{Slowdown: 1}, false, start)
	group.RecordReport(group.byID["disturbed"], Report{Slowdown: 5}, false, start)
	require.Equal(t, "undisturbed", mustPick(t, group, start, "").Backend.ID)
	_, ok := group.Pick(start.Add(20*time.Millisecond), Request{})
	require.False(t, ok)
	picked := mustPick(t, group, start.Add(300*time.Millisecond), "")
	require.Equal(t, "disturbed", picked.Backend.ID)

	single := newTestGroup(Backend{ID: "disturbed", Slots: 3, Window: 3})
	single.RecordReport(single.byID["disturbed"], Report{Slowdown: 1}, false, start)
	single.RecordReport(single.byID["disturbed"], Report{Slowdown: 9}, false, start)
	require.Equal(t, "disturbed", mustPick(t, single, start, "").Backend.ID)
}

// A back end gets one request more in flight than its initial bound only if no back end has free
// capacity.
func TestConcurrencyIsExploredOnlyWhenCapacityIsShort(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 6, Window: 6}, Backend{ID: "b", Slots: 6, Window: 6})
	for range 2 * 4 {
		mustPick(t, group, start, "")
	}
	require.Equal(t, []int{4, 4}, []int{group.byID["a"].InFlight, group.byID["b"].InFlight}, "the initial bound is two thirds of the slots")
	added := 0
	for range 10 {
		if _, ok := group.Pick(start, Request{}); ok {
			added++
		}
	}
	require.LessOrEqual(t, added, 2, "one more at each back end")
}

// The concurrency hint of another daemon applies until this daemon has enough samples. Hints for
// unknown back ends or outside the range of slots are ignored.
func TestConcurrencyHintAppliesUntilLearned(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3})
	group.SetConcurrencyHint("a", 3)
	require.Equal(t, 3, group.BestInFlight("a"))
	group.SetConcurrencyHint("unknown", 1)
	group.SetConcurrencyHint("a", 0)
	group.SetConcurrencyHint("a", 4)
	require.Equal(t, 3, group.BestInFlight("a"))
	for range 5 * latencyPriorSamples {
		group.concurrency.observe(3, inFlightStats{duration: serviceTime, mean: 2})
		group.concurrency.observe(3, inFlightStats{duration: 2 * serviceTime, mean: 3})
	}
	require.Equal(t, 2, group.BestInFlight("a"))
}
