package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testWarmUp is the rate of cold back ends in these tests: one request per 400 ms.
var testWarmUp = WarmUp{Duration: 3 * time.Second, PerSecond: 2.5}

// busiestSeconds picks a back end at each interval for a duration, ends each request after
// serviceTime, and returns how many requests each back end got in its busiest second.
func busiestSeconds(group *Group, from time.Time, duration, interval time.Duration, request Request) map[string]int {
	type sent struct {
		picked PickResult
		ends   time.Time
	}
	var inFlight []sent
	arrivals := make(map[string][]time.Time)
	busiest := make(map[string]int)
	for now := from; now.Before(from.Add(duration)); now = now.Add(interval) {
		for len(inFlight) > 0 && !now.Before(inFlight[0].ends) {
			group.Done(inFlight[0].picked, now, Success, serviceTime)
			inFlight = inFlight[1:]
		}
		picked, ok := group.Pick(now, request)
		if !ok {
			continue
		}
		id := picked.Backend.ID
		inFlight = append(inFlight, sent{picked: picked, ends: now.Add(serviceTime)})
		arrivals[id] = append(arrivals[id], now)
		for now.Sub(arrivals[id][0]) >= time.Second {
			arrivals[id] = arrivals[id][1:]
		}
		busiest[id] = max(busiest[id], len(arrivals[id]))
	}
	return busiest
}

func newSlowStartGroup(seed uint64, backends ...Backend) *Group {
	group := NewGroup(Options{Picker: LeastLoad{}, Random: rand.New(rand.NewPCG(seed, 2)), Overcommit: DefaultOvercommit, SlowStart: true})
	group.SetBackends(start, backends)
	return group
}

// Cold back ends get no more than their warm-up rate, whether one or all back ends of the service
// are cold, and full load after the warm-up.
func TestColdBackendsGetOnlyWarmUpRate(t *testing.T) {
	cold := Backend{ID: "cold", Slots: 2, Window: 2, WarmUp: testWarmUp}
	for name, others := range map[string][]Backend{
		"one of two is cold": {{ID: "warm", Slots: 2, Window: 2, Warm: true, WarmUp: testWarmUp}},
		"both are cold":      {{ID: "other", Slots: 2, Window: 2, WarmUp: testWarmUp}},
		"only back end":      nil,
	} {
		t.Run(name, func(t *testing.T) {
			group := newSlowStartGroup(1, append(others, cold)...)
			duringWarmUp := busiestSeconds(group, start, testWarmUp.Duration, 10*time.Millisecond, Request{})
			require.Equal(t, 3, duringWarmUp["cold"], "one request per 400 ms")
			afterWarmUp := busiestSeconds(group, start.Add(testWarmUp.Duration), 2*time.Second, 10*time.Millisecond, Request{})
			require.Greater(t, afterWarmUp["cold"], 10, "the back end is warm")
		})
	}
}

// A warm back end is limited to its warm-up rate as soon as its directory entry or a load probe
// shows that it is cold, or its zone is restored.
func TestWarmBackendTurnsCold(t *testing.T) {
	warm := Backend{ID: "a", Slots: 2, Window: 2, Warm: true, WarmUp: testWarmUp}
	for name, turnCold := range map[string]func(group *Group){
		"directory entry": func(group *Group) {
			cold := warm
			cold.Warm = false
			group.SetBackends(start, []Backend{cold})
		},
		"load probe": func(group *Group) {
			group.RecordLoadProbe(start, "a", Report{WarmUpLeft: testWarmUp.Duration})
		},
		"restored zone": func(group *Group) {
			group.SetDraining(start, "a", true)
			group.SetDraining(start, "a", false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			group := newSlowStartGroup(1, warm)
			turnCold(group)
			require.True(t, group.State("a").Cold(start))
			require.Equal(t, 3, busiestSeconds(group, start, testWarmUp.Duration, 10*time.Millisecond, Request{})["a"])
			require.False(t, group.State("a").Cold(start.Add(testWarmUp.Duration)))
		})
	}
}

// Daemons that pick independently, as after the loss of their dispatcher, together hardly exceed
// the warm-up rate of a cold back end.
func TestIndependentDaemonsShareWarmUpRate(t *testing.T) {
	const daemons, seconds = 40, 20
	longWarmUp := testWarmUp
	longWarmUp.Duration = time.Minute
	sent := 0
	perSecond := make(map[int]int)
	for daemon := range daemons {
		group := newSlowStartGroup(uint64(daemon), Backend{ID: "cold", Slots: 2, Window: 2, WarmUp: longWarmUp})
		for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(20 * time.Millisecond) {
			if picked, ok := group.Pick(now, Request{IndependentDaemons: daemons}); ok {
				group.Done(picked, now, Success, time.Millisecond)
				sent++
				perSecond[int(now.Sub(start)/time.Second)]++
			}
		}
	}
	require.InDelta(t, seconds*testWarmUp.PerSecond, sent, 10)
	for second, count := range perSecond {
		require.LessOrEqual(t, float64(count), 1.5*testWarmUp.PerSecond+8, "second %d", second)
	}
}

// The expected service interval accounts for the warm-up rate of cold back ends.
func TestServiceIntervalOfColdBackends(t *testing.T) {
	group := newSlowStartGroup(1, Backend{ID: "a", Slots: 2, Window: 2, WarmUp: testWarmUp})
	require.Equal(t, 400*time.Millisecond, group.ServiceInterval(start))
	require.Less(t, group.ServiceInterval(start.Add(testWarmUp.Duration)), 10*time.Millisecond)
}

// A cold back end gets no load probes between the requests that its warm-up rate permits.
func TestNoLoadProbesOfColdBackends(t *testing.T) {
	group := newSlowStartGroup(1, Backend{ID: "a", Slots: 2, Window: 2, WarmUp: testWarmUp})
	_, ok := group.Pick(start, Request{})
	require.True(t, ok)
	group.State("a").reportedAt = start.Add(-time.Second)
	_, wanted := group.LoadProbeTarget(start.Add(10*time.Millisecond), 25*time.Millisecond, 0)
	require.False(t, wanted)
}

// TestCapacityRisesWithResponses guards against back ends that count with all of their slots before they have responded.
func TestCapacityRisesWithResponses(t *testing.T) {
	group := NewGroup(Options{Picker: LeastLoad{}, Random: rand.New(rand.NewPCG(1, 2)), Overcommit: DefaultOvercommit, SlowStart: true})
	group.SetBackends(start, []Backend{{ID: "a", Slots: 3, Window: 3}, {ID: "b", Slots: 3, Window: 3}, {ID: "c", Slots: 3, Window: 3, Drained: true}})
	require.Equal(t, 2, group.Capacity(start))
	for range 4 {
		first, second := mustPick(t, group, start, ""), mustPick(t, group, start, "")
		group.Done(first, start.Add(serviceTime), Success, serviceTime)
		group.Done(second, start.Add(serviceTime), Success, serviceTime)
	}
	require.Equal(t, 6, group.Capacity(start))
}
