package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newLargeGroup returns a group with a number of warm back ends of three slots each in six zones.
func newLargeGroup(count int) (*Group, []Backend) {
	group := NewGroup(Options{Picker: LeastLoad{}, Random: rand.New(rand.NewPCG(1, 1)), Overcommit: DefaultOvercommit, SlowStart: true})
	var backends []Backend
	for number := range count {
		backends = append(backends, Backend{ID: fmt.Sprintf("b-%d", number), Zone: fmt.Sprintf("z-%d", number%6), Slots: 3, Window: 3, Warm: true})
	}
	group.SetBackends(time.Unix(1000, 0), backends)
	return group, backends
}

// runLoad sends requests of a given latency at a given rate and returns how many each back end got.
func runLoad(t *testing.T, group *Group, from time.Time, perSecond int, latency, duration time.Duration) map[string]int {
	t.Helper()
	used := make(map[string]int)
	var inFlight []PickResult
	var ends []time.Time
	for now := from; now.Sub(from) < duration; now = now.Add(time.Second / time.Duration(perSecond)) {
		for len(ends) > 0 && !ends[0].After(now) {
			group.Done(inFlight[0], ends[0], Success, latency)
			inFlight, ends = inFlight[1:], ends[1:]
		}
		picked, ok := group.Pick(now, Request{Zone: "z-1"})
		require.True(t, ok)
		used[picked.Backend.ID]++
		inFlight, ends = append(inFlight, picked), append(ends, now.Add(latency))
	}
	for index, picked := range inFlight {
		group.Done(picked, ends[index], Success, latency)
	}
	return used
}

// Few of many back ends are used. Their number grows when the load increases tenfold at once, and
// shrinks when it decreases again.
func TestWorkingSetFollowsTheLoad(t *testing.T) {
	group, _ := newLargeGroup(3000)
	now := time.Unix(1001, 0)
	lightlyLoaded := runLoad(t, group, now, 400, 120*time.Millisecond, 20*time.Second)
	require.LessOrEqual(t, len(lightlyLoaded), minWorkingSet)
	now = now.Add(20 * time.Second)
	loaded := runLoad(t, group, now, 4000, 120*time.Millisecond, 5*time.Second)
	require.Greater(t, len(loaded), 1000)
	now = now.Add(5 * time.Second)
	runLoad(t, group, now, 400, 120*time.Millisecond, 90*time.Second)
	now = now.Add(90 * time.Second)
	require.LessOrEqual(t, len(runLoad(t, group, now, 400, 120*time.Millisecond, 5*time.Second)), minWorkingSet)
}

// All back ends are used if there are few.
func TestSmallWorkingSetHasAllBackends(t *testing.T) {
	group, _ := newLargeGroup(minWorkingSet)
	require.Len(t, runLoad(t, group, time.Unix(1001, 0), 400, 120*time.Millisecond, 10*time.Second), minWorkingSet)
}

// Requests go to other back ends after the used ones are drained, and after most back ends are no
// longer declared.
func TestWorkingSetReplacesRemovedBackends(t *testing.T) {
	group, backends := newLargeGroup(1000)
	now := time.Unix(1001, 0)
	used := runLoad(t, group, now, 100, 120*time.Millisecond, 10*time.Second)
	now = now.Add(10 * time.Second)
	for id := range used {
		group.SetDraining(now, id, true)
	}
	for id := range runLoad(t, group, now, 100, 120*time.Millisecond, 5*time.Second) {
		require.Zero(t, used[id], "%s is draining", id)
	}
	now = now.Add(5 * time.Second)
	group.SetBackends(now, backends[:100])
	for id := range runLoad(t, group, now, 100, 120*time.Millisecond, 5*time.Second) {
		require.Contains(t, backends[:100], group.State(id).Backend)
	}
}

// When 600 back ends are added to 2,000, each new one gets a request within ten seconds, although
// the working set has room for few of them.
func TestNewBackendsGetFirstRequestDespiteWorkingSet(t *testing.T) {
	group, backends := newLargeGroup(2000)
	now := time.Unix(1001, 0)
	runLoad(t, group, now, 540, 120*time.Millisecond, 10*time.Second)
	now = now.Add(10 * time.Second)
	var added []string
	for number := range 600 {
		id := fmt.Sprintf("new-%d", number)
		added = append(added, id)
		backends = append(backends, Backend{ID: id, Zone: "z-1", Slots: 3, Window: 3, Warm: true})
	}
	group.SetBackends(now, backends)
	used := runLoad(t, group, now, 540, 120*time.Millisecond, 10*time.Second)
	for _, id := range added {
		require.Positive(t, used[id], id)
	}
}

// A request with 10,000 back ends costs less than three times as much as with 1,000 at the same
// load.
func TestPickCostGrowsSublinearly(t *testing.T) {
	cost := func(count int) float64 {
		group, _ := newLargeGroup(count)
		now := time.Unix(1001, 0)
		runLoad(t, group, now, 500, 120*time.Millisecond, 2*time.Second)
		result := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				now = now.Add(2 * time.Millisecond)
				picked, ok := group.Pick(now, Request{Zone: "z-1"})
				if !ok {
					b.Fatal("no back end has free capacity")
				}
				group.Done(picked, now, Success, time.Millisecond)
			}
		})
		return float64(result.NsPerOp())
	}
	few, many := cost(1000), cost(10_000)
	t.Logf("%.1f µs per request with 1,000 back ends, %.1f µs with 10,000", few/1000, many/1000)
	require.Less(t, many, 3*few, "ten times as many back ends")
}
