package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/resultcode"
	"github.com/tuliphall/tuliphall/routing"
)

// newTwoSlotDispatcher returns a dispatcher with two back ends of one slot each.
func newTwoSlotDispatcher() *dispatch.Dispatcher {
	d := dispatch.New(rand.New(rand.NewPCG(1, 1)), 10)
	d.Configure(fixedBackends(routing.Backend{ID: "b0", Slots: 1, Window: 1, Warm: true}, routing.Backend{ID: "b1", Slots: 1, Window: 1, Warm: true}), 10)
	return d
}

// requestExcluding returns a request that is excluded from a back end for a duration; 0: for as
// long as it waits.
func requestExcluding(backend string, duration time.Duration) dispatch.Request {
	req := request(1, 0)
	exclusion := routing.Exclusion{Backend: backend}
	if duration > 0 {
		exclusion.Until = time.Now().Add(duration)
	}
	req.Routing.Excluded = []routing.Exclusion{exclusion}
	return req
}

// TestExcludedRequestDoesNotBlockOthers guards against requests that wait for a permit because one
// ahead of them is excluded from the back end that is free.
func TestExcludedRequestDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTwoSlotDispatcher()
		held := map[string]*dispatch.Grant{}
		for range 2 {
			grant, err := d.Acquire(t.Context(), request(1, 0))
			require.NoError(t, err)
			held[grant.Backend.ID] = grant
		}
		granted := make(chan string, 2)
		acquire := func(name string, req dispatch.Request) {
			go func() {
				grant, err := d.Acquire(t.Context(), req)
				if err == nil {
					granted <- name + " at " + grant.Backend.ID
				}
			}()
			synctest.Wait()
		}
		acquire("first", requestExcluding("b0", 0))
		acquire("second", request(1, 0))
		held["b0"].Done(routing.Success, time.Millisecond, nil)
		synctest.Wait()
		require.Equal(t, "second at b0", <-granted)
		held["b1"].Done(routing.Success, time.Millisecond, nil)
		synctest.Wait()
		require.Equal(t, "first at b1", <-granted)
	})
}

// TestAllExcludedIsRefusedAtOnce checks that a request which is excluded from all back ends for
// longer than it may wait is refused at once with a Retry-After, and that it waits if an exclusion
// ends in time.
func TestAllExcludedIsRefusedAtOnce(t *testing.T) {
	for name, test := range map[string]struct {
		duration   time.Duration
		waits      bool
		code       resultcode.Code
		retryAfter time.Duration
	}{
		"longer than its deadline": {duration: 12 * time.Second, code: resultcode.BackendsPaused, retryAfter: 10 * time.Second},
		"longer than its wait":     {duration: 4 * time.Second, code: resultcode.BackendsPaused, retryAfter: 4 * time.Second},
		"without an end":           {code: resultcode.NoBackend, retryAfter: 100 * time.Millisecond},
		"shorter than its wait":    {duration: 500 * time.Millisecond, waits: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := dispatch.New(rand.New(rand.NewPCG(1, 1)), 10)
				d.Configure(fixedBackends(routing.Backend{ID: "b0", Slots: 1, Window: 1, Warm: true}), 10)
				req := requestExcluding("b0", test.duration)
				req.Wait = 2 * time.Second
				start := time.Now()
				grant, err := d.Acquire(t.Context(), req)
				if test.waits {
					require.NoError(t, err)
					require.InDelta(t, test.duration.Seconds(), time.Since(start).Seconds(), 0.05)
					grant.Done(routing.Success, time.Millisecond, nil)
					return
				}
				require.Zero(t, time.Since(start))
				failure := resultcode.AsFailure(err, 0)
				require.Equal(t, test.code, failure.Code)
				require.Equal(t, test.retryAfter, failure.RetryAfter)
			})
		})
	}
}
