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

// newService returns a service as configured in one daemon.
func newService(t require.TestingT) *service.Service {
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

// attempt acquires a permit, releases it at once and reports whether the retry budget allowed it.
func attempt(t require.TestingT, prices *service.Service, grantor service.Grantor, kind retry.Kind) bool {
	return attemptOf(t, prices, grantor, kind, time.Time{})
}

// attemptOf is attempt for a caller whose first try was at the given time.
func attemptOf(t require.TestingT, prices *service.Service, grantor service.Grantor, kind retry.Kind, firstTry time.Time) bool {
	grant, err := prices.Acquire(context.Background(), grantor, kind, dispatch.Request{Weight: 1, Deadline: time.Now().Add(time.Minute), FirstTry: firstTry})
	if errors.Is(err, service.ErrOverBudget) {
		return false
	}
	require.NoError(t, err)
	grant.Done(routing.Success, time.Millisecond, nil)
	return true
}

// TestBudgetIsWhereItIsNeeded guards against failed requests being denied a retry although the
// requests of the whole fleet have earned it: the dispatcher holds the budget of all daemons, and
// part of it is reserved for callers that were refused before.
func TestBudgetIsWhereItIsNeeded(t *testing.T) {
	prices := newService(t)
	for range 200 {
		require.True(t, attempt(t, prices, service.AsDispatcher(), retry.First))
	}
	const part, kept = 30, 8
	for range part - kept {
		require.True(t, attempt(t, prices, service.AsDispatcher(), retry.Retry))
	}
	require.False(t, attempt(t, prices, service.AsDispatcher(), retry.Retry), "the rest is reserved for callers that were refused before")
	for range kept {
		require.True(t, attemptOf(t, prices, service.AsDispatcher(), retry.Retry, time.Now().Add(-time.Second)))
	}
	require.False(t, attemptOf(t, prices, service.AsDispatcher(), retry.Retry, time.Now().Add(-time.Second)), "the dispatcher's share of the burst is spent")
}

// TestSavedRetriesLapse guards against a daemon keeping its saved retries while another one
// dispatches the service and earns retries as well.
func TestSavedRetriesLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prices := newService(t)
		for range 200 {
			attempt(t, prices, service.AsDispatcher(), retry.First)
		}
		time.Sleep(3 * time.Second)
		attempt(t, prices, service.AsDispatcher(), retry.First)
		require.False(t, attempt(t, prices, service.AsDispatcher(), retry.Retry))
	})
}

// TestRetriesStayInTheBudget changes the dispatcher, makes it unreachable and restarts daemons in
// random order: all attempts beyond the first stay within the service's ratio and burst.
func TestRetriesStayInTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 4
		fleet := make([]*service.Service, daemons)
		for index := range fleet {
			fleet[index] = newService(t)
		}
		dispatcher, requests, extraAttempts := 0, 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "count") {
					require.True(t, attempt(t, fleet[dispatcher], service.AsDispatcher(), retry.First))
					requests++
				}
			},
			"requests without the dispatcher": func(t *rapid.T) {
				fallback := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
				for range rapid.IntRange(1, 20).Draw(t, "count") {
					require.True(t, attempt(t, fleet[fallback], service.AsFallback(daemons), retry.First))
					requests++
				}
			},
			"more attempts": func(t *rapid.T) {
				kind := rapid.SampledFrom([]retry.Kind{retry.Retry, retry.Hedge}).Draw(t, "kind")
				for range rapid.IntRange(1, 60).Draw(t, "count") {
					if attempt(t, fleet[dispatcher], service.AsDispatcher(), kind) {
						extraAttempts++
					}
				}
			},
			"more attempts without the dispatcher": func(t *rapid.T) {
				fallback := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
				for range rapid.IntRange(1, 20).Draw(t, "count") {
					if attempt(t, fleet[fallback], service.AsFallback(daemons), retry.Retry) {
						extraAttempts++
					}
				}
			},
			"another dispatcher": func(t *rapid.T) {
				dispatcher = rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			},
			"a daemon starts anew": func(t *rapid.T) {
				fleet[rapid.IntRange(0, daemons-1).Draw(t, "daemon")] = newService(t)
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, float64(extraAttempts), ratio*float64(requests)+burst)
			},
		})
	})
}
