package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/backendlimit"
	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/logging"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
)

func backends(count int) []routing.Backend {
	list := make([]routing.Backend, 0, count)
	for number := range count {
		list = append(list, routing.Backend{ID: fmt.Sprintf("b%d", number), Slots: 3})
	}
	return list
}

// declared is what a dispatcher is configured with.
func declared(list ...routing.Backend) func(time.Time) []routing.Backend {
	return func(time.Time) []routing.Backend { return list }
}

func newDispatcher(count, queue int) *dispatch.Dispatcher {
	d := dispatch.New(rand.New(rand.NewPCG(1, 1)), queue)
	d.Configure(declared(backends(count)...), queue)
	return d
}

func request(weight int, wait time.Duration) dispatch.Request {
	return dispatch.Request{Weight: weight, Wait: wait, Deadline: time.Now().Add(10 * time.Second)}
}

// fill takes every place of a cold back end: one.
func fill(t *testing.T, d *dispatch.Dispatcher) *dispatch.Grant {
	t.Helper()
	grant, err := d.Acquire(t.Context(), request(1, 0))
	require.NoError(t, err)
	return grant
}

// TestWaitExpires lets a request wait as long as its policy allows, and no longer.
func TestWaitExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(1, 10)
		fill(t, d)
		begun := time.Now()
		_, err := d.Acquire(t.Context(), request(1, 300*time.Millisecond))
		require.Equal(t, resultcode.WaitExpired, err.(*resultcode.Failure).Code)
		require.Equal(t, 300*time.Millisecond, time.Since(begun))
	})
}

// TestHeavierGoesFirst serves waiting requests by weight, and displaces the
// lightest when the queue is full.
func TestHeavierGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(1, 2)
		held := fill(t, d)
		order := make(chan int, 3)
		displaced := make(chan resultcode.Code, 3)
		for _, weight := range []int{1, 5, 9} {
			go func() {
				grant, err := d.Acquire(t.Context(), request(weight, 0))
				if err != nil {
					displaced <- err.(*resultcode.Failure).Code
					return
				}
				order <- weight
				grant.Done(routing.Canceled, 0, nil)
			}()
			synctest.Wait()
		}
		require.Equal(t, resultcode.QueueFull, <-displaced)
		held.Done(routing.Canceled, 0, nil)
		require.Equal(t, 9, <-order)
		require.Equal(t, 5, <-order)
	})
}

// TestBurstAfterQuiet sends many requests at once, and more while the first are
// under way: all can be served long before their deadline, and none is refused.
func TestBurstAfterQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(4, 1000)
		time.Sleep(time.Minute)
		var running sync.WaitGroup
		for range 4 {
			for range 60 {
				running.Go(func() {
					made := request(1, 0)
					made.Deadline = time.Now().Add(2 * time.Second)
					grant, err := d.Acquire(t.Context(), made)
					if !assert.NoError(t, err) {
						return
					}
					time.Sleep(10 * time.Millisecond)
					grant.Done(routing.Success, 10*time.Millisecond, nil)
				})
			}
			time.Sleep(15 * time.Millisecond)
		}
		running.Wait()
	})
}

// TestCallerLeaves takes a waiting request out of the queue when its caller goes.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(1, 10)
		fill(t, d)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := d.Acquire(ctx, request(1, 0))
		require.Equal(t, resultcode.WaitExpired, err.(*resultcode.Failure).Code)
		_, waiting := d.Status()
		require.Zero(t, waiting)
	})
}

// TestDraining gives nothing to a back end that leaves.
func TestDraining(t *testing.T) {
	list := backends(2)
	d := dispatch.New(rand.New(rand.NewPCG(1, 1)), 10)
	d.Configure(declared(list...), 10)
	leave := func(number int) {
		list[number].Drained = true
		d.SetDraining(list[number].ID, func() bool { return list[number].Drained })
	}
	leave(0)
	grant := fill(t, d)
	require.Equal(t, "b1", grant.Backend.ID)
	leave(1)
	_, err := d.Acquire(t.Context(), request(1, 0))
	require.Equal(t, resultcode.NoBackend, err.(*resultcode.Failure).Code)
}

// TestSessionsStay binds a session to one back end on every daemon alike.
func TestSessionsStay(t *testing.T) {
	first, second := newDispatcher(10, 10), newDispatcher(10, 10)
	for session := range 50 {
		made := request(1, 0)
		made.Routing.Session = fmt.Sprint(session)
		one, err := first.Acquire(t.Context(), made)
		require.NoError(t, err)
		two, err := second.Acquire(t.Context(), made)
		require.NoError(t, err)
		require.Equal(t, one.Backend.ID, two.Backend.ID)
		require.Equal(t, routing.ReasonSession, one.Reason)
	}
}

// BenchmarkMutex is one decision and its end on the request path.
// TestBoundToALimitedBackend tells a request at once that it cannot be served whose session is bound to a
// back end that takes nothing in time, and when to come back; one that may wait for long enough waits.
func TestBoundToALimitedBackend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := dispatch.New(rand.New(rand.NewPCG(1, 1)), 10)
		d.Configure(declared(routing.Backend{ID: "b0", Slots: 3, Limit: backendlimit.Limit{Limited: true, PerSecond: 0.25}}), 10)
		bound := request(1, time.Second)
		bound.Routing.Session = "one"
		begun := time.Now()
		_, err := d.Acquire(t.Context(), bound)
		failure := resultcode.AsFailure(err, resultcode.NoBackend)
		require.Equal(t, resultcode.DeadlineTooShort, failure.Code)
		require.Equal(t, 4*time.Second, failure.RetryAfter)
		require.Zero(t, time.Since(begun))
		bound.Wait = 0
		_, err = d.Acquire(t.Context(), bound)
		require.NoError(t, err)
		require.InDelta(t, 4, time.Since(begun).Seconds(), 0.05)
	})
}

func BenchmarkMutex(b *testing.B) {
	for _, count := range []int{10, 20, 850} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			d := newDispatcher(count, 1000)
			made := request(1, 0)
			b.ReportAllocs()
			for b.Loop() {
				grant, err := d.Acquire(b.Context(), made)
				if err != nil {
					b.Fatal(err)
				}
				grant.Done(routing.Success, time.Millisecond, nil)
			}
		})
	}
}

// BenchmarkGoroutine is the same with a goroutine that owns the state, reached
// through a bounded queue.
func BenchmarkGoroutine(b *testing.B) {
	for _, count := range []int{10, 20, 850} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			d := newDispatcher(count, 1000)
			commands := make(chan func(), 1024)
			defer close(commands)
			go func() {
				for command := range commands {
					command()
				}
			}()
			made := request(1, 0)
			answers := make(chan *dispatch.Grant, 1)
			b.ReportAllocs()
			for b.Loop() {
				commands <- func() {
					grant, _ := d.Acquire(b.Context(), made)
					answers <- grant
				}
				grant := <-answers
				commands <- func() { grant.Done(routing.Success, time.Millisecond, nil) }
			}
		})
	}
}

// BenchmarkLog is the line for one decision, written through the bounded queue.
func BenchmarkLog(b *testing.B) {
	writer := logging.NewWriter(io.Discard)
	defer writer.Close()
	log := logging.Part(logging.New(writer, logging.Options{Level: slog.LevelInfo, Daemon: "entry-1"}), "routing")
	b.ReportAllocs()
	for b.Loop() {
		log.Info("chosen", "request", "entry-1-1", "service", "prices", "class", "read", "backend", "b1",
			"reason", "least-load", "candidates", 10, "report_age", time.Millisecond, "waited", time.Duration(0))
	}
}

// TestHeldBackEndsByItself lets a request wait for the only back end with a free place,
// which has just told that it is disturbed: it gets the place when that is old, although
// nothing else happens.
func TestHeldBackEndsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(2, 10)
		busy, disturbed := fill(t, d), fill(t, d)
		for range 50 {
			d.RecordLoadProbe(busy.Backend.ID, routing.Report{Slowdown: 1})
		}
		disturbed.Done(routing.Canceled, 0, nil)
		d.RecordLoadProbe(disturbed.Backend.ID, routing.Report{Slowdown: 5})
		begun := time.Now()
		grant, err := d.Acquire(t.Context(), request(1, time.Second))
		require.NoError(t, err)
		require.Equal(t, disturbed.Backend.ID, grant.Backend.ID)
		require.Greater(t, time.Since(begun), 50*time.Millisecond)
		require.Less(t, time.Since(begun), 600*time.Millisecond)
	})
}

// TestManyWaitAtLittleCost lets many requests wait for a second: a place is looked for
// about as often as if one waited.
func TestManyWaitAtLittleCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(1, 1000)
		fill(t, d)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var waiting sync.WaitGroup
		for range 500 {
			waiting.Go(func() { _, _ = d.Acquire(ctx, request(1, 0)) })
		}
		synctest.Wait()
		before := d.ScanCount()
		waiting.Wait()
		require.LessOrEqual(t, d.ScanCount()-before, 50, "in a second, every 20 ms")
	})
}

// returning is a request whose caller asked first so long ago.
func returning(ago time.Duration) dispatch.Request {
	made := request(1, time.Second)
	made.FirstTry = time.Now().Add(-ago)
	return made
}

// TestNewestFirstTryGoesFirst: of requests that wait, the one that has most time left
// before it is late gets the place, and those that have none left come last.
func TestNewestFirstTryGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(1, 10)
		held := fill(t, d)
		served := make(chan time.Duration, 3)
		for _, ago := range []time.Duration{300 * time.Millisecond, 0, 700 * time.Millisecond} {
			go func() {
				grant, err := d.Acquire(t.Context(), returning(ago))
				require.NoError(t, err)
				served <- ago
				grant.Done(routing.Canceled, 0, nil)
			}()
			time.Sleep(time.Millisecond)
		}
		held.Done(routing.Canceled, 0, nil)
		for _, want := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond} {
			require.Equal(t, want, <-served)
		}
	})
}

// TestComeBackLater: a caller is told to come back the later the longer ago it first
// asked, also one that did not say when that was.
func TestComeBackLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(1, 10)
		fill(t, d)
		for ago, want := range map[time.Duration]time.Duration{0: 150, 400 * time.Millisecond: 550, time.Hour: 10_000} {
			asked := returning(ago)
			asked.Wait = 150 * time.Millisecond
			_, err := d.Acquire(t.Context(), asked)
			require.Equal(t, want*time.Millisecond, err.(*resultcode.Failure).RetryAfter)
		}
		_, err := d.Acquire(t.Context(), request(1, 150*time.Millisecond))
		require.Equal(t, 100*time.Millisecond, err.(*resultcode.Failure).RetryAfter)
	})
}

// TestNewInEvacuatedZone declares a back end in an evacuated zone while requests wait: it is
// never open, not even between being known and being told that it gets none.
func TestNewInEvacuatedZone(t *testing.T) {
	d := dispatch.New(rand.New(rand.NewPCG(1, 1)), 10)
	held := routing.Backend{ID: "b0", Slots: 1, Window: 1, Warm: true}
	d.Configure(declared(held), 10)
	request := dispatch.Request{Weight: 1, Deadline: time.Now().Add(time.Minute)}
	_, err := d.Acquire(t.Context(), request)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	got := make(chan error)
	go func() {
		_, err := d.Acquire(ctx, request)
		got <- err
	}()
	time.Sleep(20 * time.Millisecond)
	evacuated := routing.Backend{ID: "b1", Zone: "west", Slots: 1, Window: 1, Warm: true, Drained: true, Evacuated: true}
	d.Configure(declared(held, evacuated), 10)
	require.Error(t, <-got)
	states, _ := d.Status()
	require.Len(t, states, 2)
	require.True(t, states[1].Draining)
	require.Zero(t, states[1].InFlight)
}
