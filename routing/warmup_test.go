package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// bearing is what cold back ends of these tests bear: one request in 400 ms.
var bearing = WarmUp{Duration: 3 * time.Second, PerSecond: 2.5}

// sendAll asks for places for a while, each gap, gives each back after the work, and
// returns how many requests each back end got in its busiest second.
func sendAll(group *Group, from time.Time, lasts, gap time.Duration, request Request) map[string]int {
	type sent struct {
		picked PickResult
		ends   time.Time
	}
	var working []sent
	arrivals := make(map[string][]time.Time)
	busiest := make(map[string]int)
	for now := from; now.Before(from.Add(lasts)); now = now.Add(gap) {
		for len(working) > 0 && !now.Before(working[0].ends) {
			group.Done(working[0].picked, now, Success, work)
			working = working[1:]
		}
		picked, ok := group.Pick(now, request)
		if !ok {
			continue
		}
		id := picked.Backend.ID
		working = append(working, sent{picked: picked, ends: now.Add(work)})
		arrivals[id] = append(arrivals[id], now)
		for now.Sub(arrivals[id][0]) >= time.Second {
			arrivals[id] = arrivals[id][1:]
		}
		busiest[id] = max(busiest[id], len(arrivals[id]))
	}
	return busiest
}

func warmUpGroup(seed uint64, backends ...Backend) *Group {
	group := NewGroup(Options{Picker: LeastLoad{}, Random: rand.New(rand.NewPCG(seed, 2)), Overcommit: DefaultOvercommit, SlowStart: true})
	group.SetBackends(start, backends)
	return group
}

// TestColdBackEndsAreSpared keeps cold back ends at what they bear, whether half of the
// service has joined or all of it, and uses them fully once they have been warm long enough
// or say that they are.
func TestColdBackEndsAreSpared(t *testing.T) {
	cold := Backend{ID: "cold", Slots: 2, Window: 2, WarmUp: bearing}
	for name, others := range map[string][]Backend{
		"half joins":    {{ID: "warm", Slots: 2, Window: 2, Warm: true, WarmUp: bearing}},
		"all are cold":  {{ID: "other", Slots: 2, Window: 2, WarmUp: bearing}},
		"it is the one": nil,
	} {
		t.Run(name, func(t *testing.T) {
			group := warmUpGroup(1, append(others, cold)...)
			busiest := sendAll(group, start, bearing.Duration, 10*time.Millisecond, Request{})
			require.Equal(t, 3, busiest["cold"], "every 400 ms")
			warm := sendAll(group, start.Add(bearing.Duration), 2*time.Second, 10*time.Millisecond, Request{})
			require.Greater(t, warm["cold"], 10, "it is warm")
		})
	}
}

// TestTurnsCold spares a back end that was in use as soon as its entry or a probe says that
// it is cold, or its zone is taken back.
func TestTurnsCold(t *testing.T) {
	warm := Backend{ID: "a", Slots: 2, Window: 2, Warm: true, WarmUp: bearing}
	for name, turn := range map[string]func(group *Group){
		"its entry says so": func(group *Group) {
			now := warm
			now.Warm = false
			group.SetBackends(start, []Backend{now})
		},
		"a probe says so": func(group *Group) {
			group.RecordLoadProbe(start, "a", Report{WarmUpLeft: bearing.Duration})
		},
		"its zone is taken back": func(group *Group) {
			group.SetDraining(start, "a", true)
			group.SetDraining(start, "a", false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			group := warmUpGroup(1, warm)
			turn(group)
			require.True(t, group.State("a").Cold(start))
			require.Equal(t, 3, sendAll(group, start, bearing.Duration, 10*time.Millisecond, Request{})["a"])
			require.False(t, group.State("a").Cold(start.Add(bearing.Duration)))
		})
	}
}

// TestChoosersShareWhatIsBorne lets daemons choose by themselves for a cold back end, as
// when their dispatcher is lost: all together send it little more than it bears.
func TestChoosersShareWhatIsBorne(t *testing.T) {
	const choosers, seconds = 40, 20
	lasts := bearing
	lasts.Duration = time.Minute
	sent := 0
	perSecond := make(map[int]int)
	for daemon := range choosers {
		group := warmUpGroup(uint64(daemon), Backend{ID: "cold", Slots: 2, Window: 2, WarmUp: lasts})
		for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(20 * time.Millisecond) {
			if picked, ok := group.Pick(now, Request{IndependentDaemons: choosers}); ok {
				group.Done(picked, now, Success, time.Millisecond)
				sent++
				perSecond[int(now.Sub(start)/time.Second)]++
			}
		}
	}
	require.InDelta(t, seconds*bearing.PerSecond, sent, 10)
	for second, count := range perSecond {
		require.LessOrEqual(t, float64(count), 1.5*bearing.PerSecond+8, "second %d", second)
	}
}

// TestColdCapacityIsCounted expects no more of cold back ends than they bear.
func TestColdCapacityIsCounted(t *testing.T) {
	group := warmUpGroup(1, Backend{ID: "a", Slots: 2, Window: 2, WarmUp: bearing})
	require.Equal(t, 400*time.Millisecond, group.ServiceInterval(start))
	require.Less(t, group.ServiceInterval(start.Add(bearing.Duration)), 10*time.Millisecond)
}

// TestProbesSpareColdBackEnds does not ask a cold back end for fresher reports between the
// requests that it bears.
func TestProbesSpareColdBackEnds(t *testing.T) {
	group := warmUpGroup(1, Backend{ID: "a", Slots: 2, Window: 2, WarmUp: bearing})
	_, ok := group.Pick(start, Request{})
	require.True(t, ok)
	group.State("a").reportedAt = start.Add(-time.Second)
	_, wanted := group.LoadProbeTarget(start.Add(10*time.Millisecond), 25*time.Millisecond, 0)
	require.False(t, wanted)
}
