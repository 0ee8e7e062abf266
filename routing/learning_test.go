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

// Requests avoid a back end that has just reported a disturbance, and return to it once the report
// is old.
func TestSlowdownIsAvoidedWhileFresh(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3}, Backend{ID: "b", Slots: 3, Window: 3})
	a, b := group.byID["a"], group.byID["b"]
	for range 50 {
		group.RecordReport(a, Report{Slowdown: 2}, false, start)
		group.RecordReport(b, Report{Slowdown: 2}, false, start)
	}
	group.RecordReport(a, Report{Slowdown: 5}, false, start)
	for range 2 {
		require.Equal(t, "b", mustPick(t, group, start, "").Backend.ID, "a disturbed back end was chosen")
	}
	later := start.Add(2 * time.Second)
	require.InDelta(t, 2, a.slowdown.expected(later), 0.2)
	require.Equal(t, "a", mustPick(t, group, later, "").Backend.ID, "the report is old, a holds fewer requests")
}

// The own zone is preferred among equal back ends, but not a disturbed back end in it.
func TestOwnZoneFirst(t *testing.T) {
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

// measureConcurrency serves requests from a back end with so many slots, as many at a time as the
// group permits, and returns the mean number in flight over the last rounds. With more than kneeAt
// in flight, each request takes slowdown times as long.
func measureConcurrency(slots, kneeAt int, slowdown float64) float64 {
	group := newTestGroup(Backend{ID: "a", Slots: slots, Window: slots})
	const rounds, measured = 600, 400
	now, sum := start, 0
	for round := range rounds {
		var held []PickResult
		for picked, ok := group.Pick(now, Request{}); ok; picked, ok = group.Pick(now, Request{}) {
			held = append(held, picked)
		}
		if round >= rounds-measured {
			sum += len(held)
		}
		latency := serviceTime
		if len(held) > kneeAt {
			latency = time.Duration(slowdown * float64(serviceTime))
		}
		now = now.Add(latency)
		for _, picked := range held {
			group.Done(picked, now, Success, latency)
		}
	}
	return float64(sum) / measured
}

// As many requests are kept in flight at a back end as it has the highest throughput with, apart
// from occasional trials of other numbers.
func TestConcurrencyIsLearned(t *testing.T) {
	for _, test := range []struct {
		slots, kneeAt int
		slowdown      float64
		want          float64
	}{
		{3, 3, 1, 3},
		{3, 2, 1.7, 2},
		{3, 2, 1.2, 3}, // slower, but with more throughput
		{6, 6, 1, 6},
		{6, 4, 1.7, 4},
		{6, 3, 2.5, 3}, // starting from half of its slots
		{16, 8, 2.5, 8},
	} {
		measured := measureConcurrency(test.slots, test.kneeAt, test.slowdown)
		require.InDelta(t, test.want, measured, 0.12*test.want, "%d slots, %.1f times as slow beyond %d", test.slots, test.slowdown, test.kneeAt)
	}
}

// A slowdown reported by back ends is not attributed to the number of requests in flight.
func TestConcurrencyOutlivesDisturbance(t *testing.T) {
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
			taken := time.Duration(slowdown[picked.Backend.ID] * float64(serviceTime))
			inFlight = append(inFlight, running{picked: picked, ends: now.Add(taken)})
		}
	}
	require.Equal(t, 4, group.concurrency.bySlots[4].best)
}

// A back end never gets more requests than its declared window, whatever it reports.
func TestWindowIsKept(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 2})
	for range 100 {
		group.RecordReport(group.byID["a"], Report{InFlight: 0}, true, start)
	}
	mustPick(t, group, start, "")
	mustPick(t, group, start, "")
	_, ok := group.Pick(start, Request{})
	require.False(t, ok)
}

// A back end that accepts requests and never answers gets hardly any, although it looks idle
// whenever a request is abandoned.
func TestSilentBackendIsLeftOut(t *testing.T) {
	group := newTestGroup(Backend{ID: "silent", Slots: 3, Window: 3}, Backend{ID: "well", Slots: 3, Window: 3})
	for _, state := range group.states {
		group.RecordReport(state, Report{Slowdown: 1}, false, start)
		state.recordLatency(serviceTime, 1)
	}
	now, toSilent := start, 0
	for range 200 {
		picked := mustPick(t, group, now, "")
		if picked.Backend.ID == "silent" {
			toSilent++
			now = now.Add(5 * serviceTime)
			group.Done(picked, now, Canceled, 0)
			continue
		}
		now = now.Add(serviceTime)
		group.Done(picked, now, Success, serviceTime)
		group.RecordReport(group.byID["well"], Report{Slowdown: 1}, false, now)
	}
	require.Less(t, toSilent, 20)
}

// A request goes to a back end that has just reported no disturbance rather than to one that has
// not reported yet. Among back ends without a recent report, a new one gets its turn.
func TestUnknownIsNotPreferred(t *testing.T) {
	group := newTestGroup(Backend{ID: "well", Slots: 3, Window: 3}, Backend{ID: "new", Slots: 3, Window: 3})
	group.RecordReport(group.byID["well"], Report{Slowdown: 1}, false, start)
	first := mustPick(t, group, start.Add(5*time.Millisecond), "")
	require.Equal(t, "well", first.Backend.ID)
	later := start.Add(2 * time.Second)
	require.Equal(t, "new", mustPick(t, group, later, "").Backend.ID, "well holds a request, and its report is old")
}

// The slowdown expected of a back end whose only report is old is the one that the back ends of the
// service usually report.
func TestUsualIsThatOfAll(t *testing.T) {
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

// A request that may run only once goes to another zone if a back end there is certainly
// undisturbed; one that can be hedged goes to a back end of its own zone that probably is.
func TestOnceOnlyGoesFarther(t *testing.T) {
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

// A request that is held for as long as it normally takes is no sign of a disturbance, although the
// back ends of the service are usually slower than this one; a request held twice as long is.
func TestBusyIsNotStalled(t *testing.T) {
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
// second if it is known to be undisturbed, within two if it is not, and within three if no request
// can be hedged.
func TestNewcomersGetRequests(t *testing.T) {
	for _, test := range []struct {
		name       string
		repeatable bool
		reported   float64 // slowdown that a probe reports before firstRequestDelay; 0: none
		within     time.Duration
	}{
		{"known to be well", false, 1, firstRequestDelay + 10*time.Millisecond},
		{"known to be disturbed", true, 5, firstRequestHedgeableDelay + 10*time.Millisecond},
		{"unknown", true, 0, firstRequestHedgeableDelay + 10*time.Millisecond},
		{"unknown, no request can be hedged", false, 0, firstRequestMaxDelay + 10*time.Millisecond},
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

// No request begins at a back end that has just reported a disturbance while others hold requests.
// One begins once the report is old, or at once if no other back end will get free capacity.
func TestDisturbedIsHeldBack(t *testing.T) {
	group := newTestGroup(Backend{ID: "well", Slots: 1, Window: 1}, Backend{ID: "disturbed", Slots: 1, Window: 1})
	for range 50 {
		for _, state := range group.states {
			group.RecordReport(state, Report{Slowdown: 2}, false, start)
		}
	}
	group.RecordReport(group.byID["well"], Report{Slowdown: 1}, false, start)
	group.RecordReport(group.byID["disturbed"], Report{Slowdown: 5}, false, start)
	require.Equal(t, "well", mustPick(t, group, start, "").Backend.ID)
	_, ok := group.Pick(start.Add(20*time.Millisecond), Request{})
	require.False(t, ok)
	picked := mustPick(t, group, start.Add(300*time.Millisecond), "")
	require.Equal(t, "disturbed", picked.Backend.ID)

	alone := newTestGroup(Backend{ID: "disturbed", Slots: 3, Window: 3})
	alone.RecordReport(alone.byID["disturbed"], Report{Slowdown: 1}, false, start)
	alone.RecordReport(alone.byID["disturbed"], Report{Slowdown: 9}, false, start)
	require.Equal(t, "disturbed", mustPick(t, alone, start, "").Backend.ID)
}

// One request more than is known to be good is put in flight only if no back end has free capacity.
func TestOthersAreTriedWhilePlacesAreShort(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 6, Window: 6}, Backend{ID: "b", Slots: 6, Window: 6})
	for range 2 * 4 {
		mustPick(t, group, start, "")
	}
	require.Equal(t, []int{4, 4}, []int{group.byID["a"].InFlight, group.byID["b"].InFlight}, "two thirds of the slots first")
	added := 0
	for range 10 {
		if _, ok := group.Pick(start, Request{}); ok {
			added++
		}
	}
	require.LessOrEqual(t, added, 2, "one more each")
}

// A hint from another daemon applies until this daemon has enough samples.
func TestAdviceCounts(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3})
	group.SetConcurrencyHint("a", 3)
	require.Equal(t, 3, group.BestInFlight("a"))
	group.SetConcurrencyHint("gone", 1)
	group.SetConcurrencyHint("a", 0)
	group.SetConcurrencyHint("a", 4)
	require.Equal(t, 3, group.BestInFlight("a"))
	for range 5 * latencyPriorSamples {
		group.concurrency.observe(3, inFlightStats{duration: serviceTime, mean: 2})
		group.concurrency.observe(3, inFlightStats{duration: 2 * serviceTime, mean: 3})
	}
	require.Equal(t, 2, group.BestInFlight("a"))
}
