package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// learnedFreshness lets a service's back ends tell how they are each 20 ms, while a share of
// them is disturbed, drawn anew after each state's time, and returns how old the report may
// be by which a back end is chosen.
func learnedFreshness(state time.Duration, share, times float64, work, cost time.Duration) time.Duration {
	random := rand.New(rand.NewPCG(1, 1))
	p := reportAgeEstimator{baseLatency: work, probeCost: cost}
	const gap = 20 * time.Millisecond
	before := 1.0
	for range 2000 {
		after := before
		if random.Float64() < gap.Seconds()/state.Seconds() {
			after = 1
			if random.Float64() < share {
				after = times
			}
		}
		p.recordReports(before, after, gap)
		before = after
	}
	return p.maxAge(25 * time.Millisecond)
}

// TestProbesAreWorthTheirCost plays services whose probes and disturbances differ: reports
// are fresher where back ends change quickly and much and requests are long, older where a
// probe is dear, and where nothing changes hardly any probe is worth making.
func TestProbesAreWorthTheirCost(t *testing.T) {
	const work, cost = 120 * time.Millisecond, 6 * time.Millisecond
	usual := learnedFreshness(150*time.Millisecond, 0.3, 5, work, cost)
	require.Greater(t, usual, 4*time.Millisecond)
	require.Less(t, usual, 12*time.Millisecond, "the chance of a disturbance in that time, times what it costs, is the probe")
	require.Less(t, learnedFreshness(40*time.Millisecond, 0.3, 5, work, cost), usual, "they change quickly")
	require.Less(t, learnedFreshness(150*time.Millisecond, 0.3, 5, 4*work, cost), usual, "requests are long")
	require.Greater(t, learnedFreshness(150*time.Millisecond, 0.3, 5, work, 4*cost), 2*usual, "probes are dear")
	require.Greater(t, learnedFreshness(700*time.Millisecond, 0.3, 5, work, cost), 2*usual, "they change seldom")
	require.Equal(t, maxReportAge, learnedFreshness(time.Second, 0, 5, work, cost), "nothing changes")
	require.Equal(t, 25*time.Millisecond, new(reportAgeEstimator).maxAge(25*time.Millisecond), "nothing is known")
}

// TestDriftIsForgotten follows back ends that calm down.
func TestDriftIsForgotten(t *testing.T) {
	p := reportAgeEstimator{baseLatency: 100 * time.Millisecond, probeCost: 5 * time.Millisecond}
	for range 1000 {
		p.recordReports(1, 2, 20*time.Millisecond)
		p.recordReports(2, 1, 20*time.Millisecond)
	}
	disturbed := p.maxAge(0)
	for range 3000 {
		p.recordReports(1, 1, 20*time.Millisecond)
	}
	require.Greater(t, p.maxAge(0), 10*disturbed)
}
