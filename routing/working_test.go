package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// manyBackends returns a group with so many warm back ends of three slots in six zones.
func manyBackends(count int) (*Group, []Backend) {
	group := NewGroup(Options{Picker: LeastLoad{}, Random: rand.New(rand.NewPCG(1, 1)), Overcommit: DefaultOvercommit, SlowStart: true})
	var backends []Backend
	for number := range count {
		backends = append(backends, Backend{ID: fmt.Sprintf("b-%d", number), Zone: fmt.Sprintf("z-%d", number%6), Slots: 3, Window: 3, Warm: true})
	}
	group.SetBackends(time.Unix(1000, 0), backends)
	return group, backends
}

// play sends requests that take a while at a pace, and returns how often each back end was used.
func play(t *testing.T, group *Group, from time.Time, perSecond int, work, lasts time.Duration) map[string]int {
	t.Helper()
	used := make(map[string]int)
	var active []PickResult
	var ends []time.Time
	for now := from; now.Sub(from) < lasts; now = now.Add(time.Second / time.Duration(perSecond)) {
		for len(ends) > 0 && !ends[0].After(now) {
			group.Done(active[0], ends[0], Success, work)
			active, ends = active[1:], ends[1:]
		}
		picked, ok := group.Pick(now, Request{Zone: "z-1"})
		require.True(t, ok)
		used[picked.Backend.ID]++
		active, ends = append(active, picked), append(ends, now.Add(work))
	}
	for index, picked := range active {
		group.Done(picked, ends[index], Success, work)
	}
	return used
}

// TestWorkingSetFollowsTheLoad uses a part of many back ends, more when the load grows tenfold at
// once, and fewer again afterwards.
func TestWorkingSetFollowsTheLoad(t *testing.T) {
	group, _ := manyBackends(3000)
	now := time.Unix(1001, 0)
	calm := play(t, group, now, 400, 120*time.Millisecond, 20*time.Second)
	require.LessOrEqual(t, len(calm), minWorkingSet)
	now = now.Add(20 * time.Second)
	loaded := play(t, group, now, 4000, 120*time.Millisecond, 5*time.Second)
	require.Greater(t, len(loaded), 1000)
	now = now.Add(5 * time.Second)
	play(t, group, now, 400, 120*time.Millisecond, 90*time.Second)
	now = now.Add(90 * time.Second)
	require.LessOrEqual(t, len(play(t, group, now, 400, 120*time.Millisecond, 5*time.Second)), minWorkingSet)
}

// TestWorkingSetOfFewIsAll uses all back ends where there are few.
func TestWorkingSetOfFewIsAll(t *testing.T) {
	group, _ := manyBackends(minWorkingSet)
	require.Len(t, play(t, group, time.Unix(1001, 0), 400, 120*time.Millisecond, 10*time.Second), minWorkingSet)
}

// TestWorkingSetReplacesWhatLeaves takes away most of the working set, zone by zone and by name: requests
// go to others.
func TestWorkingSetReplacesWhatLeaves(t *testing.T) {
	group, backends := manyBackends(1000)
	now := time.Unix(1001, 0)
	used := play(t, group, now, 100, 120*time.Millisecond, 10*time.Second)
	now = now.Add(10 * time.Second)
	for id := range used {
		group.SetDraining(now, id, true)
	}
	for id := range play(t, group, now, 100, 120*time.Millisecond, 5*time.Second) {
		require.Zero(t, used[id], "%s leaves", id)
	}
	now = now.Add(5 * time.Second)
	group.SetBackends(now, backends[:100])
	for id := range play(t, group, now, 100, 120*time.Millisecond, 5*time.Second) {
		require.Contains(t, backends[:100], group.State(id).Backend)
	}
}

// TestNewcomersOfManyGetRequests adds a third more back ends to many: each gets a request within ten
// seconds, though the working set has room for few of them.
func TestNewcomersOfManyGetRequests(t *testing.T) {
	group, backends := manyBackends(2000)
	now := time.Unix(1001, 0)
	play(t, group, now, 540, 120*time.Millisecond, 10*time.Second)
	now = now.Add(10 * time.Second)
	var added []string
	for number := range 600 {
		id := fmt.Sprintf("new-%d", number)
		added = append(added, id)
		backends = append(backends, Backend{ID: id, Zone: "z-1", Slots: 3, Window: 3, Warm: true})
	}
	group.SetBackends(now, backends)
	used := play(t, group, now, 540, 120*time.Millisecond, 10*time.Second)
	for _, id := range added {
		require.Positive(t, used[id], id)
	}
}

// TestPickGrowsSlowly compares what a request costs with 1,000 back ends and with 10,000, at one load.
func TestPickGrowsSlowly(t *testing.T) {
	cost := func(count int) float64 {
		group, _ := manyBackends(count)
		now := time.Unix(1001, 0)
		play(t, group, now, 500, 120*time.Millisecond, 2*time.Second)
		result := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				now = now.Add(2 * time.Millisecond)
				picked, ok := group.Pick(now, Request{Zone: "z-1"})
				if !ok {
					b.Fatal("no place")
				}
				group.Done(picked, now, Success, time.Millisecond)
			}
		})
		return float64(result.NsPerOp())
	}
	few, many := cost(1000), cost(10_000)
	t.Logf("1,000 back ends: %.1f us a request; 10,000: %.1f us", few/1000, many/1000)
	require.Less(t, many, 3*few, "ten times as many back ends")
}
