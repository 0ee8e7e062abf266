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

// backends returns a number of back ends with three slots each.
func backends(count int) []routing.Backend {
	list := make([]routing.Backend, 0, count)
	for i := range count {
		list = append(list, routing.Backend{ID: fmt.Sprintf("b%d", i), Slots: 3})
	}
	return list
}

// fixedBackends returns a function for Configure that always returns the given back ends.
func fixedBackends(list ...routing.Backend) func(time.Time) []routing.Backend {
	return func(time.Time) []routing.Backend { return list }
}

// newDispatcher returns a dispatcher with a number of back ends and a queue limit.
func newDispatcher(count, queue int) *dispatch.Dispatcher {
	d := dispatch.New(rand.New(rand.NewPCG(1, 1)), queue)
	d.Configure(fixedBackends(backends(count)...), queue)
	return d
}

// request returns a request with a weight that may wait this long, 0: until its deadline in 10 s.
func request(weight int, wait time.Duration) dispatch.Request {
	return dispatch.Request{Weight: weight, Wait: wait, Deadline: time.Now().Add(10 * time.Second)}
}

// acquireColdPermit acquires a permit of a cold back end, which has only one at first.
func acquireColdPermit(t *testing.T, d *dispatch.Dispatcher) *dispatch.Grant {
	t.Helper()
	grant, err := d.Acquire(t.Context(), request(1, 0))
	require.NoError(t, err)
	return grant
}

// TestWaitExpires checks that a request is refused after exactly the wait that its policy allows.
func TestWaitExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(1, 10)
		acquireColdPermit(t, d)
		start := time.Now()
		_, err := d.Acquire(t.Context(), request(1, 300*time.Millisecond))
		require.Equal(t, resultcode.WaitExpired, err.(*resultcode.Failure).Code)
		require.Equal(t, 300*time.Millisecond, time.Since(start))
	})
}

// TestHigherWeightGoesFirst checks that waiting requests get permits in the order of their weights,
// and that a full queue displaces the one with the lowest weight.
func TestHigherWeightGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(1, 2)
		blocking := acquireColdPermit(t, d)
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
		blocking.Done(routing.Canceled, 0, nil)
		require.Equal(t, 9, <-order)
		require.Equal(t, 5, <-order)
	})
}

// TestBurstAfterIdleIsNotRefused sends many requests at once after an idle period, and more while
// the first are in flight. All can be served long before their deadlines, so that none may be
// refused.
func TestBurstAfterIdleIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(4, 1000)
		time.Sleep(time.Minute)
		var running sync.WaitGroup
		for range 4 {
			for range 60 {
				running.Go(func() {
					req := request(1, 0)
					req.Deadline = time.Now().Add(2 * time.Second)
					grant, err := d.Acquire(t.Context(), req)
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

// TestEndedContextRemovesRequestFromQueue checks that a waiting request is removed from the queue
// when its context ends.
func TestEndedContextRemovesRequestFromQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(1, 10)
		acquireColdPermit(t, d)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := d.Acquire(ctx, request(1, 0))
		require.Equal(t, resultcode.WaitExpired, err.(*resultcode.Failure).Code)
		_, waiting := d.Status()
		require.Zero(t, waiting)
	})
}

// TestDrainingBackendGetsNoRequests checks that a draining back end gets no new requests.
func TestDrainingBackendGetsNoRequests(t *testing.T) {
	list := backends(2)
	d := dispatch.New(rand.New(rand.NewPCG(1, 1)), 10)
	d.Configure(fixedBackends(list...), 10)
	drain := func(i int) {
		list[i].Drained = true
		d.SetDraining(list[i].ID, func() bool { return list[i].Drained })
	}
	drain(0)
	grant := acquireColdPermit(t, d)
	require.Equal(t, "b1", grant.Backend.ID)
	drain(1)
	_, err := d.Acquire(t.Context(), request(1, 0))
	require.Equal(t, resultcode.NoBackend, err.(*resultcode.Failure).Code)
}

// TestDaemonsBindSessionToSameBackend checks that two daemons bind a session to the same back end.
func TestDaemonsBindSessionToSameBackend(t *testing.T) {
	first, second := newDispatcher(10, 10), newDispatcher(10, 10)
	for session := range 50 {
		req := request(1, 0)
		req.Routing.Session = fmt.Sprint(session)
		firstGrant, err := first.Acquire(t.Context(), req)
		require.NoError(t, err)
		secondGrant, err := second.Acquire(t.Context(), req)
		require.NoError(t, err)
		require.Equal(t, firstGrant.Backend.ID, secondGrant.Backend.ID)
		require.Equal(t, routing.ReasonSession, firstGrant.Reason)
	}
}

// TestSessionAtLimitedBackendIsRefusedUnlessInTime checks that a request whose session is bound to
// a back end is refused at once with a Retry-After if the request limit of the back end permits it
// only after its wait, and that it waits if its policy allows it to wait long enough.
func TestSessionAtLimitedBackendIsRefusedUnlessInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := dispatch.New(rand.New(rand.NewPCG(1, 1)), 10)
		d.Configure(fixedBackends(routing.Backend{ID: "b0", Slots: 3, Limit: backendlimit.Limit{Limited: true, PerSecond: 0.25}}), 10)
		bound := request(1, time.Second)
		bound.Routing.Session = "one"
		start := time.Now()
		_, err := d.Acquire(t.Context(), bound)
		failure := resultcode.AsFailure(err, resultcode.NoBackend)
		require.Equal(t, resultcode.DeadlineTooShort, failure.Code)
		require.Equal(t, 4*time.Second, failure.RetryAfter)
		require.Zero(t, time.Since(start))
		bound.Wait = 0
		_, err = d.Acquire(t.Context(), bound)
		require.NoError(t, err)
		require.InDelta(t, 4, time.Since(start).Seconds(), 0.05)
	})
}

// BenchmarkAcquireMutex measures the acquisition and release of a permit, which the dispatcher
// guards with a mutex.
func BenchmarkAcquireMutex(b *testing.B) {
	for _, count := range []int{10, 20, 850} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			d := newDispatcher(count, 1000)
			req := request(1, 0)
			b.ReportAllocs()
			for b.Loop() {
				grant, err := d.Acquire(b.Context(), req)
				if err != nil {
					b.Fatal(err)
				}
				grant.Done(routing.Success, time.Millisecond, nil)
			}
		})
	}
}

// BenchmarkAcquireGoroutine measures the same through a goroutine that owns the state and takes
// commands from a bounded queue.
func BenchmarkAcquireGoroutine(b *testing.B) {
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
			req := request(1, 0)
			grants := make(chan *dispatch.Grant, 1)
			b.ReportAllocs()
			for b.Loop() {
				commands <- func() {
					grant, _ := d.Acquire(b.Context(), req)
					grants <- grant
				}
				grant := <-grants
				commands <- func() { grant.Done(routing.Success, time.Millisecond, nil) }
			}
		})
	}
}

// BenchmarkLogDecision measures the log line of one decision, which is written through a bounded
// queue.
func BenchmarkLogDecision(b *testing.B) {
	writer := logging.NewWriter(io.Discard)
	defer writer.Close()
	log := logging.Component(logging.New(writer, logging.Options{Level: slog.LevelInfo, Daemon: "entry-1"}), "routing")
	b.ReportAllocs()
	for b.Loop() {
		log.Info("chosen", "request", "entry-1-1", "service", "prices", "class", "read", "backend", "b1",
			"reason", "least-load", "candidates", 10, "report_age", time.Millisecond, "waited", time.Duration(0))
	}
}

// TestDeferralEndsAsReportAges checks that a request which is deferred, because the only back end
// with a free permit has just reported a disturbance, gets the permit once the report is old,
// although no other event occurs.
func TestDeferralEndsAsReportAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(2, 10)
		busy, disturbed := acquireColdPermit(t, d), acquireColdPermit(t, d)
		for range 50 {
			d.RecordLoadProbe(busy.Backend.ID, routing.Report{Slowdown: 1})
		}
		disturbed.Done(routing.Canceled, 0, nil)
		d.RecordLoadProbe(disturbed.Backend.ID, routing.Report{Slowdown: 5})
		start := time.Now()
		grant, err := d.Acquire(t.Context(), request(1, time.Second))
		require.NoError(t, err)
		require.Equal(t, disturbed.Backend.ID, grant.Backend.ID)
		require.Greater(t, time.Since(start), 50*time.Millisecond)
		require.Less(t, time.Since(start), 600*time.Millisecond)
	})
}

// TestWaitingRequestsShareRecheckTimer guards against one recheck timer per waiting request: for
// 500 requests that wait for a second, the back ends must be scanned about as often as for a single
// one.
func TestWaitingRequestsShareRecheckTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(1, 1000)
		acquireColdPermit(t, d)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var waiting sync.WaitGroup
		for range 500 {
			waiting.Go(func() { _, _ = d.Acquire(ctx, request(1, 0)) })
		}
		synctest.Wait()
		before := d.ScanCount()
		waiting.Wait()
		require.LessOrEqual(t, d.ScanCount()-before, 50, "one scan every 20 ms for a second")
	})
}

// requestOfAge returns a request that its caller first sent this long ago and that may wait for a
// second.
func requestOfAge(age time.Duration) dispatch.Request {
	req := request(1, time.Second)
	req.FirstTry = time.Now().Add(-age)
	return req
}

// TestNewestFirstTryGoesFirst checks that of the waiting requests of one weight those with the
// newest first try, which have the most time left, get permits first.
func TestNewestFirstTryGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(1, 10)
		blocking := acquireColdPermit(t, d)
		served := make(chan time.Duration, 3)
		for _, age := range []time.Duration{300 * time.Millisecond, 0, 700 * time.Millisecond} {
			go func() {
				grant, err := d.Acquire(t.Context(), requestOfAge(age))
				require.NoError(t, err)
				served <- age
				grant.Done(routing.Canceled, 0, nil)
			}()
			time.Sleep(time.Millisecond)
		}
		blocking.Done(routing.Canceled, 0, nil)
		for _, want := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond} {
			require.Equal(t, want, <-served)
		}
	})
}

// TestRetryAfterGrowsWithRequestAge checks that the Retry-After grows with the time since the
// caller's first try, within bounds, and has the minimum if the first try is unknown.
func TestRetryAfterGrowsWithRequestAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(1, 10)
		acquireColdPermit(t, d)
		for age, want := range map[time.Duration]time.Duration{0: 150, 400 * time.Millisecond: 550, time.Hour: 10_000} {
			req := requestOfAge(age)
			req.Wait = 150 * time.Millisecond
			_, err := d.Acquire(t.Context(), req)
			require.Equal(t, want*time.Millisecond, err.(*resultcode.Failure).RetryAfter)
		}
		_, err := d.Acquire(t.Context(), request(1, 150*time.Millisecond))
		require.Equal(t, 100*time.Millisecond, err.(*resultcode.Failure).RetryAfter)
	})
}

// TestNewBackendInEvacuatedZoneGetsNoRequest guards against granting a permit for a new back end in
// an evacuated zone between its declaration and the update that drains it. A request waits
// meanwhile.
func TestNewBackendInEvacuatedZoneGetsNoRequest(t *testing.T) {
	d := dispatch.New(rand.New(rand.NewPCG(1, 1)), 10)
	occupied := routing.Backend{ID: "b0", Slots: 1, Window: 1, Warm: true}
	d.Configure(fixedBackends(occupied), 10)
	request := dispatch.Request{Weight: 1, Deadline: time.Now().Add(time.Minute)}
	_, err := d.Acquire(t.Context(), request)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	acquired := make(chan error)
	go func() {
		_, err := d.Acquire(ctx, request)
		acquired <- err
	}()
	time.Sleep(20 * time.Millisecond)
	evacuated := routing.Backend{ID: "b1", Zone: "west", Slots: 1, Window: 1, Warm: true, Drained: true, Evacuated: true}
	d.Configure(fixedBackends(occupied, evacuated), 10)
	require.Error(t, <-acquired)
	states, _ := d.Status()
	require.Len(t, states, 2)
	require.True(t, states[1].Draining)
	require.Zero(t, states[1].InFlight)
}
