package service_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tuliphall/tuliphall/config"
	"github.com/tuliphall/tuliphall/dispatch"
	_ "github.com/tuliphall/tuliphall/internal/testseed"
	"github.com/tuliphall/tuliphall/network"
	"github.com/tuliphall/tuliphall/retry"
	"github.com/tuliphall/tuliphall/routing"
	"github.com/tuliphall/tuliphall/service"
)

// The retry budget in these tests.
const (
	ratio = 0.2
	burst = 40
)

// newTestService returns a service as configured in one daemon.
func newTestService(t require.TestingT) *service.Service {
	services := service.NewRegistry(service.Options{Network: network.TCP{}, Seed: 1})
	snapshot, err := config.NewSnapshot(config.Document{Revision: 1, Content: config.Content{
		Services:   []config.Service{{Name: "prices", RetryRatio: ratio, RetryBurst: burst}},
		Placements: []config.Placement{{Service: "prices", Backends: []config.Backend{{ID: "b1", Address: "127.0.0.1:1", Slots: 1000}}}},
	}})
	require.NoError(t, err)
	services.Put(snapshot)
	prices, _ := services.Find("prices")
	return prices
}

// attemptAllowed acquires a permit, releases it at once and reports whether the retry budget allowed it.
func attemptAllowed(t require.TestingT, prices *service.Service, grantor service.Grantor, kind retry.Kind) bool {
	return attemptAllowedSince(t, prices, grantor, kind, time.Time{})
}

// attemptAllowedSince is attemptAllowed for a caller whose first try was at the given time.
func attemptAllowedSince(t require.TestingT, prices *service.Service, grantor service.Grantor, kind retry.Kind, firstTry time.Time) bool {
	grant, err := prices.Acquire(context.Background(), grantor, kind, dispatch.Request{Weight: 1, Deadline: time.Now().Add(time.Minute), FirstTry: firstTry})
	if errors.Is(err, service.ErrOverBudget) {
		return false
	}
	require.NoError(t, err)
	grant.Done(routing.Success, time.Millisecond, nil)
	return true
}

// TestDispatcherHoldsFleetRetryBudget guards against failed requests being denied a retry although the
// requests of the whole fleet have earned it: the dispatcher holds the budget of all daemons, and
// part of it is reserved for callers that were refused before.
func TestDispatcherHoldsFleetRetryBudget(t *testing.T) {
	prices := newTestService(t)
	for range 200 {
		require.True(t, attemptAllowed(t, prices, service.AsDispatcher(), retry.First))
	}
	const share, reserved = 30, 8
	for range share - reserved {
		require.True(t, attemptAllowed(t, prices, service.AsDispatcher(), retry.Retry))
	}
	require.False(t, attemptAllowed(t, prices, service.AsDispatcher(), retry.Retry), "the rest is reserved for callers that were refused before")
	for range reserved {
		require.True(t, attemptAllowedSince(t, prices, service.AsDispatcher(), retry.Retry, time.Now().Add(-time.Second)))
	}
	require.False(t, attemptAllowedSince(t, prices, service.AsDispatcher(), retry.Retry, time.Now().Add(-time.Second)), "the dispatcher's share of the burst is spent")
}

// TestSavedRetriesExpire guards against a daemon keeping its saved retries while another one
// dispatches the service and earns retries as well.
func TestSavedRetriesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prices := newTestService(t)
		for range 200 {
			attemptAllowed(t, prices, service.AsDispatcher(), retry.First)
		}
		time.Sleep(3 * time.Second)
		attemptAllowed(t, prices, service.AsDispatcher(), retry.First)
		require.False(t, attemptAllowed(t, prices, service.AsDispatcher(), retry.Retry))
	})
}

// TestRetriesStayWithinBudget changes the dispatcher, makes it unreachable and restarts daemons in
// random order: all attempts beyond the first stay within the service's ratio and burst.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 4
		fleet := make([]*service.Service, daemons)
		for index := range fleet {
			fleet[index] = newTestService(t)
		}
		dispatcher, requests, extraAttempts := 0, 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "count") {
					require.True(t, attemptAllowed(t, fleet[dispatcher], service.AsDispatcher(), retry.First))
					requests++
				}
			},
			"requests without the dispatcher": func(t *rapid.T) {
				fallback := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
				for range rapid.IntRange(1, 20).Draw(t, "count") {
					require.True(t, attemptAllowed(t, fleet[fallback], service.AsFallback(daemons), retry.First))
					requests++
				}
			},
			"more attempts": func(t *rapid.T) {
				kind := rapid.SampledFrom([]retry.Kind{retry.Retry, retry.Hedge}).Draw(t, "kind")
				for range rapid.IntRange(1, 60).Draw(t, "count") {
					if attemptAllowed(t, fleet[dispatcher], service.AsDispatcher(), kind) {
						extraAttempts++
					}
				}
			},
			"more attempts without the dispatcher": func(t *rapid.T) {
				fallback := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
				for range rapid.IntRange(1, 20).Draw(t, "count") {
					if attemptAllowed(t, fleet[fallback], service.AsFallback(daemons), retry.Retry) {
						extraAttempts++
					}
				}
			},
			"another dispatcher": func(t *rapid.T) {
				dispatcher = rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			},
			"a daemon starts anew": func(t *rapid.T) {
				fleet[rapid.IntRange(0, daemons-1).Draw(t, "daemon")] = newTestService(t)
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, float64(extraAttempts), ratio*float64(requests)+burst)
			},
		})
	})
}
