package frontend

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestElapsedWaitOfRetryingCallers checks that a caller that states less remaining time than is typical
// of its route is assumed to have waited for the rest, also while most callers are retrying.
func TestElapsedWaitOfRetryingCallers(t *testing.T) {
	var p patience
	for range 10 {
		require.Zero(t, p.elapsedWait("a", 4*time.Second))
	}
	require.Equal(t, time.Second, p.elapsedWait("a", 3*time.Second))
	for range 500 {
		p.elapsedWait("a", 4*time.Second)
		for _, remaining := range []time.Duration{3800, 3500, 2000} {
			require.Equal(t, 4*time.Second-remaining*time.Millisecond, p.elapsedWait("a", remaining*time.Millisecond))
		}
	}
	require.Zero(t, p.elapsedWait("b", time.Second), "callers of another route wait for less")
	require.Zero(t, p.elapsedWait("a", 0), "no remaining time is stated")
}

// TestPatienceIgnoresOutliers guards against a few very patient callers making all others look as if they
// had been waiting.
func TestPatienceIgnoresOutliers(t *testing.T) {
	var p patience
	for number := range 200 {
		p.elapsedWait("a", 4*time.Second)
		if number%30 == 0 {
			p.elapsedWait("a", time.Hour)
		}
	}
	require.Zero(t, p.elapsedWait("a", 4*time.Second))
}

// TestPatienceIsBoundedAndAdapts checks that memory is bounded regardless of the number of routes, and
// that the estimate follows callers that have become less patient.
func TestPatienceIsBoundedAndAdapts(t *testing.T) {
	var p patience
	for number := range 3 * maxPatienceRoutes {
		p.elapsedWait(fmt.Sprint(number), time.Second)
	}
	require.LessOrEqual(t, len(p.byRoute), maxPatienceRoutes)
	for range patienceSamples {
		p.elapsedWait("a", 4*time.Second)
	}
	for range patienceSamples {
		p.elapsedWait("a", time.Second)
	}
	require.Zero(t, p.elapsedWait("a", time.Second))
}
