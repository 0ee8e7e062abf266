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

// twoSlots returns a dispatcher of two back ends that take one request each.
func twoSlots() *dispatch.Dispatcher {
	d := dispatch.New(rand.New(rand.NewPCG(1, 1)), 10)
	d.Configure(declared(routing.Backend{ID: "b0", Slots: 1, Window: 1, Warm: true}, routing.Backend{ID: "b1", Slots: 1, Window: 1, Warm: true}), 10)
	return d
}

// without returns a request that must not reach a back end for so long; 0: not while it waits.
func without(backend string, lasts time.Duration) dispatch.Request {
	made := request(1, 0)
	exclusion := routing.Exclusion{Backend: backend}
	if lasts > 0 {
		exclusion.Until = time.Now().Add(lasts)
	}
	made.Routing.Excluded = []routing.Exclusion{exclusion}
	return made
}

// TestExcludedRequestHoldsNobodyUp guards against requests that wait behind one that must not use the place which is
// free.
func TestExcludedRequestHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := twoSlots()
		held := map[string]*dispatch.Grant{}
		for range 2 {
			grant, err := d.Acquire(t.Context(), request(1, 0))
			require.NoError(t, err)
			held[grant.Backend.ID] = grant
		}
		got := make(chan string, 2)
		wait := func(name string, made dispatch.Request) {
			go func() {
				grant, err := d.Acquire(t.Context(), made)
				if err == nil {
					got <- name + " at " + grant.Backend.ID
				}
			}()
			synctest.Wait()
		}
		wait("first", without("b0", 0))
		wait("second", request(1, 0))
		held["b0"].Done(routing.Success, time.Millisecond, nil)
		synctest.Wait()
		require.Equal(t, "second at b0", <-got)
		held["b1"].Done(routing.Success, time.Millisecond, nil)
		synctest.Wait()
		require.Equal(t, "first at b1", <-got)
	})
}

// TestAllExcludedIsRefusedAtOnce tells a request that can reach no back end in time when it may come back, and lets one
// wait whose turn comes soon enough.
func TestAllExcludedIsRefusedAtOnce(t *testing.T) {
	for name, one := range map[string]struct {
		lasts time.Duration
		waits bool
		code  resultcode.Code
		after time.Duration
	}{
		"longer than the request may take": {lasts: 12 * time.Second, code: resultcode.BackendsPaused, after: 10 * time.Second},
		"longer than its wait":             {lasts: 4 * time.Second, code: resultcode.BackendsPaused, after: 4 * time.Second},
		"not while it waits":               {code: resultcode.NoBackend, after: 100 * time.Millisecond},
		"soon over":                        {lasts: 500 * time.Millisecond, waits: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := dispatch.New(rand.New(rand.NewPCG(1, 1)), 10)
				d.Configure(declared(routing.Backend{ID: "b0", Slots: 1, Window: 1, Warm: true}), 10)
				made := without("b0", one.lasts)
				made.Wait = 2 * time.Second
				begun := time.Now()
				grant, err := d.Acquire(t.Context(), made)
				if one.waits {
					require.NoError(t, err)
					require.InDelta(t, one.lasts.Seconds(), time.Since(begun).Seconds(), 0.05)
					grant.Done(routing.Success, time.Millisecond, nil)
					return
				}
				require.Zero(t, time.Since(begun))
				failure := resultcode.AsFailure(err, 0)
				require.Equal(t, one.code, failure.Code)
				require.Equal(t, one.after, failure.RetryAfter)
			})
		})
	}
}
