package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// learnedReportAge simulates a back end that reports every 20 ms, and returns the learned maximum
// age of a report. Whether the back end is disturbed, with a probability of share, is drawn again
// every stateTime on average.
func learnedReportAge(stateTime time.Duration, share, slowdown float64, baseLatency, probeCost time.Duration) time.Duration {
	random := rand.New(rand.NewPCG(1, 1))
	estimator := reportAgeEstimator{baseLatency: baseLatency, probeCost: probeCost}
	const interval = 20 * time.Millisecond
	before := 1.0
	for range 2000 {
		after := before
		if random.Float64() < interval.Seconds()/stateTime.Seconds() {
			after = 1
			if random.Float64() < share {
				after = slowdown
			}
		}
		estimator.recordReports(before, after, interval)
		before = after
	}
	return estimator.maxAge(25 * time.Millisecond)
}

// The maximum report age is lower if back ends change quickly or requests are long, higher if
// probes are expensive or back ends change rarely, and maxReportAge if nothing changes.
func TestMaxReportAgeBalancesProbeCost(t *testing.T) {
	const baseLatency, probeCost = 120 * time.Millisecond, 6 * time.Millisecond
	usual := learnedReportAge(150*time.Millisecond, 0.3, 5, baseLatency, probeCost)
	require.Greater(t, usual, 4*time.Millisecond)
	require.Less(t, usual, 12*time.Millisecond, "the probability of a disturbance in that time, times its cost, equals the cost of a probe")
	require.Less(t, learnedReportAge(40*time.Millisecond, 0.3, 5, baseLatency, probeCost), usual, "back ends change quickly")
	require.Less(t, learnedReportAge(150*time.Millisecond, 0.3, 5, 4*baseLatency, probeCost), usual, "requests are long")
	require.Greater(t, learnedReportAge(150*time.Millisecond, 0.3, 5, baseLatency, 4*probeCost), 2*usual, "probes are expensive")
	require.Greater(t, learnedReportAge(700*time.Millisecond, 0.3, 5, baseLatency, probeCost), 2*usual, "back ends change rarely")
	require.Equal(t, maxReportAge, learnedReportAge(time.Second, 0, 5, baseLatency, probeCost), "nothing changes")
	require.Equal(t, 25*time.Millisecond, new(reportAgeEstimator).maxAge(25*time.Millisecond), "no samples")
}

// The maximum report age grows when the back ends become less variable.
func TestMaxReportAgeFollowsDecreasingDrift(t *testing.T) {
	estimator := reportAgeEstimator{baseLatency: 100 * time.Millisecond, probeCost: 5 * time.Millisecond}
	for range 1000 {
		estimator.recordReports(1, 2, 20*time.Millisecond)
		estimator.recordReports(2, 1, 20*time.Millisecond)
	}
	variable := estimator.maxAge(0)
	for range 3000 {
		estimator.recordReports(1, 1, 20*time.Millisecond)
	}
	require.Greater(t, estimator.maxAge(0), 10*variable)
}
