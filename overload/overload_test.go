package overload

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"
)

// peer is the connection of a caller that can be closed.
type peer struct {
	*Connection
	closed bool
}

func add(p *Pool) *peer {
	added := &peer{}
	added.Connection = p.Add(func() { added.closed = true })
	return added
}

func newGuard(limits Limits) *Guard {
	return NewGuard(limits, tally.NoopScope)
}

// TestLeastMissedConnectionIsClosed guards against a full pool that closes a connection with a request in progress while
// another one waits for its caller.
func TestLeastMissedConnectionIsClosed(t *testing.T) {
	for name, test := range map[string]struct {
		first, second       Phase
		firstAge, secondAge time.Duration
		closesFirst         bool
	}{
		"idle before new":              {Idle, Silent, 2 * time.Second, minSilence - 1, true},
		"silent before idle":           {Idle, Silent, time.Hour, minSilence, false},
		"new before served":            {Serving, Silent, time.Hour, 0, false},
		"stalled body before idle":     {Receiving, Idle, minWait, time.Hour, true},
		"slow body before idle":        {Receiving, Idle, minBodyWait, time.Hour, true},
		"idle before a body":           {Receiving, Idle, minBodyWait - 1, 0, false},
		"slow body before new":         {Receiving, Silent, minBodyWait, minWait - 1, true},
		"new before a body":            {Receiving, Silent, minBodyWait - 1, 0, false},
		"partial head before silent":   {Head, Silent, 0, minWait - 1, true},
		"stalled head before idle":     {Idle, Head, time.Hour, minWait, false},
		"longest idle":                 {Idle, Idle, time.Second, 0, true},
		"slow body before served":      {Receiving, Serving, minBodyWait, time.Hour, true},
		"longest without a whole head": {Head, Silent, minWait, 2 * minWait, false},
		"partial head before idle":     {Head, Idle, 0, time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool := newGuard(Limits{}).NewPool("caller", 2)
				time.Sleep(time.Hour)
				first, second := add(pool), add(pool)
				for _, each := range []struct {
					connection *peer
					phase      Phase
					age        time.Duration
				}{{first, test.first, test.firstAge}, {second, test.second, test.secondAge}} {
					each.connection.SetPhase(each.phase)
					each.connection.since.Store(time.Now().Add(-each.age).UnixNano())
				}
				require.NotNil(t, pool.Add(func() {}))
				require.Equal(t, test.closesFirst, first.closed)
				require.Equal(t, !test.closesFirst, second.closed)
			})
		})
	}
}

// TestServedConnectionsAreKept guards against connections that are closed although their requests are being served, or
// although their callers have been awaited for a moment only.
func TestServedConnectionsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := newGuard(Limits{})
		pool := guard.NewPool("caller", 3)
		served, receiving, reading := add(pool), add(pool), add(pool)
		served.SetPhase(Serving)
		reading.SetPhase(Serving)
		time.Sleep(time.Hour)
		receiving.SetPhase(Receiving)
		reading.BeginWrite()
		require.Nil(t, pool.Add(func() {}))
		require.Equal(t, Counts{Rejected: 1}, guard.Counts())
		time.Sleep(minWait)
		reading.EndWrite(true)
		require.NotNil(t, pool.Add(func() {}), "the body has been awaited for long")
		require.True(t, receiving.closed)
		reading.BeginWrite()
		time.Sleep(minWait)
		require.NotNil(t, pool.Add(func() {}), "one that was added since has sent nothing")
		require.False(t, reading.closed)
		require.False(t, served.closed)
	})
}

// TestSearchIsNotRepeatedForEachConnection guards against a search that finds several connections of a large pool, of which one is
// closed later although a request is being served on it by then or has been meanwhile, or in another order than found.
func TestSearchIsNotRepeatedForEachConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newGuard(Limits{}).NewPool("caller", 4*victimShare)
		var open []*peer
		for range 4 * victimShare {
			added := add(pool)
			added.SetPhase(Idle)
			open = append(open, added)
			time.Sleep(time.Second)
		}
		add(pool)
		require.True(t, open[0].closed)
		open[1].SetPhase(Serving)
		open[2].SetPhase(Serving)
		open[2].SetPhase(Idle)
		for range 3 {
			add(pool)
		}
		for number, each := range open[:8] {
			require.Equal(t, slices.Contains([]int{0, 3, 4, 5}, number), each.closed, "connection %d", number)
		}
	})
}

// TestHTTP2LeavesPlacesToOthers guards against connections of HTTP/2, each with a request in progress, that take all places, and
// against a count that is wrong after some were closed.
func TestHTTP2LeavesPlacesToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const places = 10
		pool := newGuard(Limits{}).NewPool("caller", places)
		var serving []*peer
		for range places / 2 {
			c := add(pool)
			require.True(t, c.BeginHTTP2())
			c.SetPhase(Serving)
			serving = append(serving, c)
		}
		rejected := add(pool)
		require.False(t, rejected.BeginHTTP2())
		rejected.Remove()
		serving[3].SetPhase(Idle)
		require.True(t, add(pool).BeginHTTP2())
		require.True(t, serving[3].closed)
		serving[0].Remove()
		serving[0].Remove()
		require.True(t, add(pool).BeginHTTP2())
		for range places / 2 {
			c := add(pool)
			require.False(t, c.closed)
			c.SetPhase(Serving)
		}
		require.Len(t, pool.open, places)
		require.Equal(t, places/2, pool.http2)
	})
}

// TestMemoryIsTakenFromSlowCallers guards against callers that hold all of the memory and send nothing, and against a
// reservation that is released twice.
func TestMemoryIsTakenFromSlowCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := newGuard(Limits{Memory: 80 << 10})
		pool := guard.NewPool("caller", 0)
		slow, fast, late := add(pool), add(pool), add(pool)
		slow.SetPhase(Receiving)
		require.True(t, slow.Reserve(30<<10))
		time.Sleep(minWait / 2)
		fast.SetPhase(Serving)
		require.True(t, fast.Reserve(30<<10))
		require.False(t, late.Reserve(32<<10), "no caller has been awaited for long")
		time.Sleep(minWait / 2)
		require.True(t, late.Reserve(32<<10))
		require.True(t, slow.closed)
		require.False(t, fast.closed)
		require.False(t, slow.Reserve(1), "its memory belongs to others")
		slow.Release(30 << 10)
		slow.Remove()
		require.Equal(t, int64(62<<10), guard.reserved)
	})
}

// TestSmallRequestsFindMemory guards against large requests that leave no memory for small ones.
func TestSmallRequestsFindMemory(t *testing.T) {
	guard := newGuard(Limits{Memory: 1 << 20})
	pool := guard.NewPool("caller", 0)
	large := add(pool)
	for large.Reserve(64 << 10) {
	}
	small := add(pool)
	for range 256 << 10 / (4 << 10) {
		require.True(t, add(pool).Reserve(4<<10))
	}
	require.False(t, small.Reserve(4<<10))
	require.Zero(t, small.reserved)
}

// TestReservationsAreBounded checks with random operations that reservations stay within the limit, and that nothing is
// reserved after all connections were removed.
func TestReservationsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		guard := newGuard(Limits{Memory: 1 << 20})
		pool := guard.NewPool("caller", 8)
		var open []*peer
		t.Repeat(map[string]func(*rapid.T){
			"add": func(*rapid.T) {
				if added := add(pool); added.Connection != nil {
					open = append(open, added)
				}
			},
			"reserve": func(t *rapid.T) {
				if len(open) > 0 {
					rapid.SampledFrom(open).Draw(t, "connection").Reserve(rapid.Int64Range(0, 1<<20).Draw(t, "bytes"))
				}
			},
			"release": func(t *rapid.T) {
				if len(open) > 0 {
					rapid.SampledFrom(open).Draw(t, "connection").Release(rapid.Int64Range(0, 1<<20).Draw(t, "bytes"))
				}
			},
			"age": func(t *rapid.T) {
				if len(open) > 0 {
					rapid.SampledFrom(open).Draw(t, "connection").since.Store(time.Now().Add(-time.Hour).UnixNano())
				}
			},
			"phase": func(t *rapid.T) {
				if len(open) > 0 {
					rapid.SampledFrom(open).Draw(t, "connection").SetPhase(rapid.SampledFrom([]Phase{Opened, Silent, Head, Idle, Receiving, Serving}).Draw(t, "phase"))
				}
			},
			"": func(t *rapid.T) {
				if guard.reserved < 0 || guard.reserved > guard.limits.Memory || len(pool.open) > 8 {
					t.Fatalf("%d bytes reserved, %d connections open", guard.reserved, len(pool.open))
				}
			},
		})
		for _, each := range open {
			each.Remove()
			each.Remove()
		}
		if guard.reserved != 0 || len(pool.open) != 0 {
			t.Fatalf("%d bytes reserved, %d connections open at the end", guard.reserved, len(pool.open))
		}
	})
}

// TestLargeHeadsWaitForMemory guards against large heads that are served all at once, and against one that is larger than
// the memory for heads and is never served.
func TestLargeHeadsWaitForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		guard := newGuard(Limits{HeadMemory: 2 * headCost(16<<10, 2000)})
		pool := guard.NewPool("caller", 0)
		admit := func(c *peer, lines int) bool {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			defer c.EndHead()
			return c.AdmitHead(ctx, 16<<10, lines)
		}
		first, second, third := add(pool), add(pool), add(pool)
		require.True(t, admit(first, 2000))
		require.True(t, admit(second, 2000))
		require.False(t, admit(third, 2000))
		require.True(t, add(pool).AdmitHead(t.Context(), HeadAllowance, HeadLineAllowance), "small heads do not wait")
		first.ReleaseHead()
		first.ReleaseHead()
		require.False(t, admit(third, 4000))
		second.ReleaseHead()
		require.True(t, admit(third, 16000))
	})
}

// TestLargeHeadsLeaveProcessorTime guards against large heads that are parsed one after the other without a pause.
func TestLargeHeadsLeaveProcessorTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newGuard(Limits{HeadMemory: 1 << 30}).NewPool("caller", 0)
		start := time.Now()
		for range 10 {
			c := add(pool)
			require.True(t, c.AdmitHead(t.Context(), 16<<10, 2000))
			time.Sleep(3 * time.Millisecond) // parsing
			c.EndHead()
			c.EndHead()
		}
		require.Equal(t, (10*3+9*3)*time.Millisecond, time.Since(start))
	})
}

// TestRequestsAheadLeaveProcessorTime guards against requests of callers that send many ahead that take all of the processor, and
// against one that waits although its connection was closed.
func TestRequestsAheadLeaveProcessorTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cost, perSecond = 8, 400
		pool := newGuard(Limits{Frames: cost * perSecond}).NewPool("caller", 0)
		start := time.Now()
		for range perSecond {
			c := add(pool)
			require.True(t, c.AwaitTurn(t.Context(), cost))
			c.EndTurn()
			c.EndTurn()
		}
		require.InDelta(t, time.Second-framesBurst, time.Since(start), float64(10*time.Millisecond))
		for range maxAhead {
			require.True(t, add(pool).AwaitTurn(t.Context(), cost))
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.False(t, add(pool).AwaitTurn(ctx, cost))
	})
}

// TestDefaultLimitsSuitMachines checks the limits of the machines of the deployments: callers, their requests and what the
// daemon needs itself fit into the memory, and descriptors are left.
func TestDefaultLimitsSuitMachines(t *testing.T) {
	for _, machine := range []struct {
		memoryMB, descriptors int
	}{{284, 4100}, {184, 4100}, {136, 2870}, {536, 8192}, {160, 4100}, {64, 100}} {
		memory := int64(machine.memoryMB) * 1_000_000
		limits := DefaultLimits(memory, machine.descriptors, 0.32)
		require.LessOrEqual(t, limits.Memory, memory/4)
		require.LessOrEqual(t, limits.HeadMemory, limits.Memory)
		require.GreaterOrEqual(t, limits.HeadMemory, int64(4<<20))
		if machine.descriptors > 1000 {
			require.GreaterOrEqual(t, limits.Connections, 500)
			require.GreaterOrEqual(t, machine.descriptors-limits.Connections-limits.PeerConnections, machine.descriptors/5)
			require.GreaterOrEqual(t, limits.PeerConnections, 500)
		}
	}
	require.Positive(t, DefaultLimits(0, 0, 0).Connections)
}

// TestCrowdIsCounted guards against a count of new connections that drifts, after which connections are accepted late for
// good, or too early.
func TestCrowdIsCounted(t *testing.T) {
	pool := newGuard(Limits{}).NewPool("caller", 0)
	var open []*peer
	for range maxOpened + 1 {
		require.False(t, pool.Crowded())
		open = append(open, add(pool))
	}
	require.True(t, pool.Crowded())
	open[0].BeginReading()
	require.False(t, pool.Crowded())
	open[1].SetPhase(Head)
	open[1].BeginReading()
	require.Equal(t, int64(maxOpened-1), pool.opened.Load())
	for _, each := range open {
		each.Remove()
		each.SetPhase(Idle)
		each.Remove()
	}
	require.Zero(t, pool.opened.Load())
}

// TestSilentConnectionsAreClosedAtStop guards against a planned stop that waits for requests on connections that nobody uses, and
// against closing one that was just opened or is in use.
func TestSilentConnectionsAreClosedAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newGuard(Limits{}).NewPool("caller", 0)
		silent, idle, receiving := add(pool), add(pool), add(pool)
		silent.BeginReading()
		idle.SetPhase(Idle)
		receiving.SetPhase(Receiving)
		time.Sleep(minSilence)
		opened := add(pool)
		opened.BeginReading()
		pool.CloseSilent()
		require.True(t, silent.closed)
		require.False(t, idle.closed || receiving.closed || opened.closed)
	})
}

// TestStalledCallerIsTold guards against a caller that is taken for stalled although it takes one of its responses.
func TestStalledCallerIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := add(newGuard(Limits{}).NewPool("caller", 0))
		c.BeginWrite()
		c.BeginWrite()
		time.Sleep(stalledAfter - 1)
		require.False(t, c.Stalled())
		time.Sleep(time.Nanosecond)
		require.True(t, c.Stalled())
		c.EndWrite(true)
		require.False(t, c.Stalled(), "one of the writes has returned")
		time.Sleep(stalledAfter)
		c.EndWrite(false)
		require.True(t, c.Stalled(), "the other one was given up")
		c.BeginWrite()
		require.True(t, c.Stalled())
		c.EndWrite(true)
		require.False(t, c.Stalled())
		require.False(t, (*Connection)(nil).Stalled())
	})
}

// TestFewFramesGoBeforeMany guards against reads of few frames that wait for those of many, and against few that do not count.
func TestFewFramesGoBeforeMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, readers, few = 8000, 20, 100
		pool := newGuard(Limits{Frames: perSecond}).NewPool("caller", 0)
		burst := int(perSecond * framesBurst.Seconds())
		start := time.Now()
		many := make(chan time.Duration, 2*readers)
		await := func() {
			add(pool).AwaitFrames(t.Context(), burst, 1)
			many <- time.Since(start)
		}
		for range readers {
			go await()
		}
		synctest.Wait()
		require.Len(t, many, 1, "read at once")
		for range burst / few {
			before := time.Now()
			add(pool).AwaitFrames(t.Context(), few, 1)
			require.InDelta(t, time.Second*few/perSecond, time.Since(before), float64(time.Microsecond))
		}
		require.Len(t, many, 1)
		for range readers {
			go await()
		}
		var last time.Duration
		for range 2 * readers {
			last = <-many
		}
		require.InDelta(t, time.Duration(2*readers)*framesBurst, last, float64(10*time.Millisecond), "few frames count, too")
	})
}

// TestReadsOfCrowdLeaveTurnsToOthers guards against a caller that sends a request now and then and waits each time for the reads of a
// crowd that sends as much as it can: in small reads, in larger ones, or with a lower weight.
func TestReadsOfCrowdLeaveTurnsToOthers(t *testing.T) {
	for name, test := range map[string]struct {
		cost    int
		weight  float64
		maxWait time.Duration
	}{
		"small reads":  {1, 1, 20 * time.Millisecond},
		"larger reads": {35, 1, 6 * time.Millisecond},
		"lower weight": {9, 0.25, 3 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const perSecond, crowd, ordinaryCost = 8000, 100, 15
				pool := newGuard(Limits{Frames: perSecond}).NewPool("caller", 0)
				ctx, cancel := context.WithCancel(t.Context())
				var reads atomic.Int64
				for range crowd {
					go func() {
						for c := add(pool); ctx.Err() == nil; reads.Add(1) {
							c.AwaitFrames(ctx, test.cost, test.weight)
						}
					}()
				}
				time.Sleep(time.Second)
				ordinary := add(pool)
				for range 20 {
					before := time.Now()
					ordinary.AwaitFrames(ctx, ordinaryCost, 1)
					require.LessOrEqual(t, time.Since(before), test.maxWait)
					time.Sleep(500 * time.Millisecond)
				}
				before := reads.Load()
				time.Sleep(time.Second)
				require.InDelta(t, perSecond/test.cost, reads.Load()-before, float64(perSecond/test.cost/20+1), "the crowd gets what others leave")
				cancel()
				synctest.Wait()
				require.Empty(t, pool.guard.frames.waiting)
			})
		})
	}
}

// BenchmarkFullPool measures a new connection that takes the place of another one.
func BenchmarkFullPool(b *testing.B) {
	for _, connections := range []int{128, 512, 1444} {
		b.Run(strconv.Itoa(connections), func(b *testing.B) {
			pool := newGuard(Limits{}).NewPool("caller", connections)
			for b.Loop() {
				pool.Add(func() {}).BeginReading()
			}
		})
	}
}
