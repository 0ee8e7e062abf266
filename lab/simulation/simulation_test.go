package simulation_test

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/lab/simulation"
	"github.com/tuliphall/tuliphall/routing"
)

// tuliphallSystem is the system under test as the daemons implement it.
func tuliphallSystem() simulation.System {
	return simulation.System{
		Name: "tuliphall", Picker: func(simulation.Oracle) routing.Picker { return routing.LeastLoad{} },
		Overcommit: routing.DefaultOvercommit, Dispatchers: 1, Permits: true, LoadReports: true,
	}
}

// priceQuery is the price query service of the Kingston deployment, without noise.
func priceQuery(load float64, duration time.Duration) simulation.Scenario {
	return simulation.Scenario{
		Zones: 4, Daemons: 16, Workers: 10, Slots: 3, Work: 5 * time.Millisecond,
		SameZoneDelay: 100 * time.Microsecond, CrossZoneDelay: 1500 * time.Microsecond, HopCost: 60 * time.Microsecond,
		Load: load, Duration: duration, WarmUp: time.Second, Seed: 1, Timeline: 500 * time.Millisecond,
	}
}

// TestRunIsDeterministic checks that the same scenario and seed give the same results.
func TestRunIsDeterministic(t *testing.T) {
	scenario := priceQuery(0.85, 3*time.Second)
	scenario.Noise = simulation.Noise{Slowdown: 3, Noisy: 50 * time.Millisecond, Quiet: 450 * time.Millisecond}
	first, second := simulation.Run(scenario, tuliphallSystem()), simulation.Run(scenario, tuliphallSystem())
	require.Equal(t, first.Answered, second.Answered)
	require.Equal(t, first.Quantile(99), second.Quantile(99))
	require.Equal(t, first.Attempts, second.Attempts)
}

// shareOf returns a back end's share of the attempts in an interval.
func shareOf(interval simulation.Interval, worker int) float64 {
	total := 0
	for _, sent := range interval.Sent {
		total += sent
	}
	return float64(interval.Sent[worker]) / float64(total)
}

// TestRejectingBackendIsAvoidedUntilItRecovers has one of ten back ends reject every request from second 3 to 8: it
// must get less than 1% of the requests meanwhile and more than 5% again afterwards.
func TestRejectingBackendIsAvoidedUntilItRecovers(t *testing.T) {
	scenario := priceQuery(0.7, 20*time.Second)
	scenario.Faults = []simulation.Fault{{Kind: simulation.FaultReject, Worker: 4, From: 3 * time.Second, Until: 8 * time.Second}}
	result := simulation.Run(scenario, tuliphallSystem())
	for _, interval := range result.Intervals {
		switch {
		case interval.From >= 4*time.Second && interval.From < 8*time.Second:
			require.Less(t, shareOf(interval, 4), 0.01, "at %s", interval.From)
		case interval.From >= 18*time.Second && interval.From < 19*time.Second:
			require.Greater(t, shareOf(interval, 4), 0.05, "too few requests after the recovery, at %s", interval.From)
		}
	}
	require.Zero(t, result.RefusedAfterRun)
	require.Less(t, float64(result.Failed), 0.001*float64(result.Offered))
}

// TestSlowBackendEffectOnP99IsBounded slows one of ten back ends down tenfold from second 3 to 10 and limits
// the effect on p99. The p99 of half a second depends on the five slowest of 700 requests
// and varies by half between intervals, so the test takes the whole time, for ten seeds.
func TestSlowBackendEffectOnP99IsBounded(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		baseline := priceQuery(0.7, 10*time.Second)
		baseline.Seed = seed
		expected := simulation.Run(baseline, tuliphallSystem())
		scenario := baseline
		scenario.Faults = []simulation.Fault{{Kind: simulation.FaultSlow, Worker: 4, From: 3 * time.Second, Until: 10 * time.Second, Factor: 10}}
		result := simulation.Run(scenario, tuliphallSystem())
		slowed := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		for _, interval := range result.Intervals {
			if interval.From >= 5*time.Second && interval.From < 9500*time.Millisecond {
				slowed.Merge(interval.Latency)
			}
		}
		p99 := time.Duration(slowed.ValueAtQuantile(99)) * time.Microsecond
		t.Logf("seed %d: %.3f", seed, float64(p99)/float64(expected.Quantile(99)))
		require.Less(t, float64(p99), 1.25*float64(expected.Quantile(99)), "seed %d: %s against %s", seed, p99, expected.Quantile(99))
	}
}

// overloadClasses are a class of high weight with a tenth of the requests, and a class of
// low weight.
func overloadClasses() []simulation.Class {
	return []simulation.Class{
		{Name: "high", Share: 0.1, Weight: 100, Deadline: time.Second},
		{Name: "low", Share: 0.9, Weight: 1, Deadline: time.Second},
	}
}

// TestGoodputUnderOverload offers two and five times the capacity: goodput must stay near capacity,
// and the p99 of the class of high weight within twice that at low load.
func TestGoodputUnderOverload(t *testing.T) {
	baseline := priceQuery(0.5, 5*time.Second)
	baseline.Classes = overloadClasses()
	unloaded := simulation.Run(baseline, tuliphallSystem()).Classes["high"].ValueAtQuantile(99)
	for _, load := range []float64{2, 5} {
		scenario := priceQuery(load, 8*time.Second)
		scenario.Classes = overloadClasses()
		scenario.Queue = 1000
		result := simulation.Run(scenario, tuliphallSystem())
		require.Greater(t, result.Goodput(), 0.95*result.Capacity, "load %g", load)
		require.Zero(t, result.RefusedAfterRun)
		high := result.Classes["high"].ValueAtQuantile(99)
		require.LessOrEqual(t, high, 2*unloaded, "load %g", load)
	}
}
