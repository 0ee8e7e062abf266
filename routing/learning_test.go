package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const work = 100 * time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestGroup(backends ...Backend) *Group {
	group := NewGroup(Options{Picker: LeastLoad{}, Random: rand.New(rand.NewPCG(1, 2)), Overcommit: DefaultOvercommit})
	group.SetBackends(start, backends)
	return group
}

func pick(t *testing.T, group *Group, now time.Time, zone string) PickResult {
	t.Helper()
	picked, ok := group.Pick(now, Request{Zone: zone})
	require.True(t, ok)
	return picked
}

// TestSlowdownIsAvoidedWhileFresh sends requests past a back end that just said it
// is disturbed, and back to it once that is old.
func TestSlowdownIsAvoidedWhileFresh(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3}, Backend{ID: "b", Slots: 3, Window: 3})
	a, b := group.byID["a"], group.byID["b"]
	for range 50 {
		group.RecordReport(a, Report{Slowdown: 2}, false, start)
		group.RecordReport(b, Report{Slowdown: 2}, false, start)
	}
	group.RecordReport(a, Report{Slowdown: 5}, false, start)
	for range 2 {
		require.Equal(t, "b", pick(t, group, start, "").Backend.ID, "the disturbed one was chosen")
	}
	later := start.Add(2 * time.Second)
	require.InDelta(t, 2, a.slowdown.expected(later), 0.2)
	require.Equal(t, "a", pick(t, group, later, "").Backend.ID, "the report is old, a holds fewer requests")
}

// TestOwnZoneFirst prefers the own zone among equals, and not a disturbed back end
// there.
func TestOwnZoneFirst(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Zone: "here", Slots: 3, Window: 3}, Backend{ID: "b", Zone: "there", Slots: 3, Window: 3})
	group.RecordReport(group.byID["a"], Report{Slowdown: 1}, false, start)
	group.RecordReport(group.byID["b"], Report{Slowdown: 1}, false, start)
	for range 20 {
		picked := pick(t, group, start, "here")
		require.Equal(t, "a", picked.Backend.ID)
		group.Done(picked, start, Canceled, 0)
	}
	group.RecordReport(group.byID["a"], Report{Slowdown: 3}, false, start)
	require.Equal(t, "b", pick(t, group, start, "here").Backend.ID)
}

// serveFull lets the group serve requests from a back end with so many slots, as many at
// once as it gives out, and returns how many it gave out on average in the last rounds.
// With more in flight than kneeAt, each takes kneed times as long.
func serveFull(slots, kneeAt int, kneed float64) float64 {
	group := newTestGroup(Backend{ID: "a", Slots: slots, Window: slots})
	const rounds, counted = 600, 400
	now, sum := start, 0
	for round := range rounds {
		var held []PickResult
		for picked, ok := group.Pick(now, Request{}); ok; picked, ok = group.Pick(now, Request{}) {
			held = append(held, picked)
		}
		if round >= rounds-counted {
			sum += len(held)
		}
		latency := work
		if len(held) > kneeAt {
			latency = time.Duration(kneed * float64(work))
		}
		now = now.Add(latency)
		for _, picked := range held {
			group.Done(picked, now, Success, latency)
		}
	}
	return float64(sum) / counted
}

// TestConcurrencyIsLearned holds as many requests at a back end as it finishes most
// with. Now and then others are tried all the same.
func TestConcurrencyIsLearned(t *testing.T) {
	for _, one := range []struct {
		slots, kneeAt int
		kneed         float64
		want          float64
	}{
		{3, 3, 1, 3},
		{3, 2, 1.7, 2},
		{3, 2, 1.2, 3}, // slower, but more of them
		{6, 6, 1, 6},
		{6, 4, 1.7, 4},
		{6, 3, 2.5, 3}, // from half of its slots on
		{16, 8, 2.5, 8},
	} {
		got := serveFull(one.slots, one.kneeAt, one.kneed)
		require.InDelta(t, one.want, got, 0.12*one.want, "%d slots, %.1f times as slow beyond %d", one.slots, one.kneed, one.kneeAt)
	}
}

// TestConcurrencyOutlivesDisturbance: disturbances that back ends tell of are not taken
// for an effect of the number in flight.
func TestConcurrencyOutlivesDisturbance(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 4, Window: 4}, Backend{ID: "b", Slots: 4, Window: 4})
	random := rand.New(rand.NewPCG(3, 4))
	type running struct {
		picked PickResult
		ends   time.Time
	}
	slowed := map[string]float64{"a": 1, "b": 1}
	var inFlight []running
	for tick := range 60_000 {
		now := start.Add(time.Duration(tick) * time.Millisecond)
		if tick%150 == 0 {
			for _, state := range group.states {
				slowed[state.ID] = 1
				if random.Float64() < 0.25 {
					slowed[state.ID] = 5
				}
			}
		}
		for _, state := range group.states {
			group.RecordReport(state, Report{Slowdown: slowed[state.ID]}, false, now)
		}
		kept := inFlight[:0]
		for _, one := range inFlight {
			if one.ends.After(now) {
				kept = append(kept, one)
				continue
			}
			group.Done(one.picked, now, Success, work)
		}
		inFlight = kept
		if picked, ok := group.Pick(now, Request{}); ok {
			taken := time.Duration(slowed[picked.Backend.ID] * float64(work))
			inFlight = append(inFlight, running{picked: picked, ends: now.Add(taken)})
		}
	}
	require.Equal(t, 4, group.concurrency.bySlots[4].best)
}

// TestWindowIsKept never sends more to a back end than its declared window,
// whatever its reports say.
func TestWindowIsKept(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 2})
	for range 100 {
		group.RecordReport(group.byID["a"], Report{InFlight: 0}, true, start)
	}
	pick(t, group, start, "")
	pick(t, group, start, "")
	_, ok := group.Pick(start, Request{})
	require.False(t, ok)
}

// TestSilentBackendIsLeftOut sends hardly anything to a back end that takes requests
// and never answers, although it looks idle whenever a request is given up on.
func TestSilentBackendIsLeftOut(t *testing.T) {
	group := newTestGroup(Backend{ID: "silent", Slots: 3, Window: 3}, Backend{ID: "well", Slots: 3, Window: 3})
	for _, state := range group.states {
		group.RecordReport(state, Report{Slowdown: 1}, false, start)
		state.recordLatency(work, 1)
	}
	now, toSilent := start, 0
	for range 200 {
		picked := pick(t, group, now, "")
		if picked.Backend.ID == "silent" {
			toSilent++
			now = now.Add(5 * work)
			group.Done(picked, now, Canceled, 0)
			continue
		}
		now = now.Add(work)
		group.Done(picked, now, Success, work)
		group.RecordReport(group.byID["well"], Report{Slowdown: 1}, false, now)
	}
	require.Less(t, toSilent, 20)
}

// TestUnknownIsNotPreferred sends a request to a back end that has just said that it is
// undisturbed, and not to one that has told nothing yet; among back ends that have told
// nothing for long, a new one has its turn.
func TestUnknownIsNotPreferred(t *testing.T) {
	group := newTestGroup(Backend{ID: "well", Slots: 3, Window: 3}, Backend{ID: "new", Slots: 3, Window: 3})
	group.RecordReport(group.byID["well"], Report{Slowdown: 1}, false, start)
	first := pick(t, group, start.Add(5*time.Millisecond), "")
	require.Equal(t, "well", first.Backend.ID)
	later := start.Add(2 * time.Second)
	require.Equal(t, "new", pick(t, group, later, "").Backend.ID, "well holds a request, and what it told is old")
}

// TestUsualIsThatOfAll expects of a back end whose single report is old what back ends
// of the service usually tell.
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

// TestOnceOnlyGoesFarther sends what may run once only to another zone where a back end
// is surely undisturbed, and what can be hedged to one in its own that probably is.
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

// TestBusyIsNotStalled holds a request at a back end for as long as it takes, as the
// service's back ends are usually disturbed more than this one: that is no sign of
// trouble, twice as long is.
func TestBusyIsNotStalled(t *testing.T) {
	group := newTestGroup(Backend{ID: "busy", Slots: 3, Window: 3}, Backend{ID: "other", Slots: 3, Window: 3})
	busy := group.byID["busy"]
	for number := range 100 {
		group.RecordReport(group.byID["other"], Report{Slowdown: []float64{1, 3}[number%2]}, false, start)
		group.RecordReport(busy, Report{Slowdown: 1}, false, start)
		busy.recordLatency(work, 1)
	}
	pick(t, group, start, "")
	busy.silentSince = start
	require.LessOrEqual(t, busy.stallSlowdown(start.Add(work)), 1.0)
	require.Greater(t, busy.stallSlowdown(start.Add(2*work)), 1.5)
}

// TestNewcomersGetRequests lets requests come that others could serve by themselves: a
// new back end gets its first one within a second if it is known to be well, within two
// if not, and if none can be hedged within three.
func TestNewcomersGetRequests(t *testing.T) {
	for _, one := range []struct {
		name       string
		repeatable bool
		told       float64 // slowdown that a probe brings before newcomerWait; 0: none
		within     time.Duration
	}{
		{"known to be well", false, 1, firstRequestDelay + 10*time.Millisecond},
		{"known to be disturbed", true, 5, firstRequestHedgeableDelay + 10*time.Millisecond},
		{"unknown", true, 0, firstRequestHedgeableDelay + 10*time.Millisecond},
		{"unknown, no request can be hedged", false, 0, firstRequestMaxDelay + 10*time.Millisecond},
	} {
		t.Run(one.name, func(t *testing.T) {
			group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3})
			group.RecordReport(group.byID["a"], Report{Slowdown: 1}, false, start)
			picked := pick(t, group, start, "")
			group.Done(picked, start, Success, work)
			group.SetBackends(start, []Backend{{ID: "a", Slots: 3, Window: 3}, {ID: "new", Slots: 3, Window: 3, Warm: true}})
			for now := start; now.Sub(start) <= one.within; now = now.Add(10 * time.Millisecond) {
				if one.told > 0 && now.Sub(start) == firstRequestDelay-50*time.Millisecond {
					group.RecordReport(group.byID["new"], Report{Slowdown: one.told}, false, now)
				}
				picked, ok := group.Pick(now, Request{Repeatable: one.repeatable})
				require.True(t, ok)
				if picked.Backend.ID == "new" {
					return
				}
				group.Done(picked, now, Success, work)
				group.RecordReport(picked.Backend, Report{Slowdown: 1}, false, now)
			}
			t.Fatal("it got no request")
		})
	}
}

// TestDisturbedIsHeldBack begins no request at a back end that has just told that it is
// disturbed while others have something to finish, begins one once that is old, and
// begins one at once where nothing else will bring a place.
func TestDisturbedIsHeldBack(t *testing.T) {
	group := newTestGroup(Backend{ID: "well", Slots: 1, Window: 1}, Backend{ID: "disturbed", Slots: 1, Window: 1})
	for range 50 {
		for _, state := range group.states {
			group.RecordReport(state, Report{Slowdown: 2}, false, start)
		}
	}
	group.RecordReport(group.byID["well"], Report{Slowdown: 1}, false, start)
	group.RecordReport(group.byID["disturbed"], Report{Slowdown: 5}, false, start)
	require.Equal(t, "well", pick(t, group, start, "").Backend.ID)
	_, ok := group.Pick(start.Add(20*time.Millisecond), Request{})
	require.False(t, ok)
	picked := pick(t, group, start.Add(300*time.Millisecond), "")
	require.Equal(t, "disturbed", picked.Backend.ID)

	alone := newTestGroup(Backend{ID: "disturbed", Slots: 3, Window: 3})
	alone.RecordReport(alone.byID["disturbed"], Report{Slowdown: 1}, false, start)
	alone.RecordReport(alone.byID["disturbed"], Report{Slowdown: 9}, false, start)
	require.Equal(t, "disturbed", pick(t, alone, start, "").Backend.ID)
}

// TestOthersAreTriedWhilePlacesAreShort: one more request than is known to be good is put
// in flight only when nothing else has a place.
func TestOthersAreTriedWhilePlacesAreShort(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 6, Window: 6}, Backend{ID: "b", Slots: 6, Window: 6})
	for range 2 * 4 {
		pick(t, group, start, "")
	}
	require.Equal(t, []int{4, 4}, []int{group.byID["a"].InFlight, group.byID["b"].InFlight}, "two thirds of the slots first")
	more := 0
	for range 10 {
		if _, ok := group.Pick(start, Request{}); ok {
			more++
		}
	}
	require.LessOrEqual(t, more, 2, "one more each")
}

// TestAdviceCounts: what another daemon learned holds until this one knows better.
func TestAdviceCounts(t *testing.T) {
	group := newTestGroup(Backend{ID: "a", Slots: 3, Window: 3})
	group.SetConcurrencyHint("a", 3)
	require.Equal(t, 3, group.BestInFlight("a"))
	group.SetConcurrencyHint("gone", 1)
	group.SetConcurrencyHint("a", 0)
	group.SetConcurrencyHint("a", 4)
	require.Equal(t, 3, group.BestInFlight("a"))
	for range 5 * latencyPriorSamples {
		group.concurrency.observe(3, inFlightStats{duration: work, mean: 2})
		group.concurrency.observe(3, inFlightStats{duration: 2 * work, mean: 3})
	}
	require.Equal(t, 2, group.BestInFlight("a"))
}
