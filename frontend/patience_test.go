package frontend

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReturningCallersAreKnown: who says that it waits for less than callers of its route
// usually do has waited for the rest, also while most callers come back.
func TestReturningCallersAreKnown(t *testing.T) {
	var p patience
	for range 10 {
		require.Zero(t, p.waited("a", 4*time.Second))
	}
	require.Equal(t, time.Second, p.waited("a", 3*time.Second))
	for range 500 {
		p.waited("a", 4*time.Second)
		for _, remaining := range []time.Duration{3800, 3500, 2000} {
			require.Equal(t, 4*time.Second-remaining*time.Millisecond, p.waited("a", remaining*time.Millisecond))
		}
	}
	require.Zero(t, p.waited("b", time.Second), "callers of another route wait for less")
	require.Zero(t, p.waited("a", 0), "nothing was said")
}

// TestOddCallersAreNotUsual: few who would wait far longer do not make all others late.
func TestOddCallersAreNotUsual(t *testing.T) {
	var p patience
	for number := range 200 {
		p.waited("a", 4*time.Second)
		if number%30 == 0 {
			p.waited("a", time.Hour)
		}
	}
	require.Zero(t, p.waited("a", 4*time.Second))
}

// TestPatienceIsForgotten: what is remembered does not grow with the routes, and follows
// callers who have become less patient.
func TestPatienceIsForgotten(t *testing.T) {
	var p patience
	for number := range 3 * maxPatienceRoutes {
		p.waited(fmt.Sprint(number), time.Second)
	}
	require.LessOrEqual(t, len(p.byRoute), maxPatienceRoutes)
	for range patienceMemory {
		p.waited("a", 4*time.Second)
	}
	for range patienceMemory {
		p.waited("a", time.Second)
	}
	require.Zero(t, p.waited("a", time.Second))
}
