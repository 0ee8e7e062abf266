package recent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/recent"
)

// TestRateIsMeasuredAndDecays verifies that the average approaches a steady rate, and decays within a few spans once
// events stop.
func TestRateIsMeasuredAndDecays(t *testing.T) {
	const span = 2 * time.Second
	var rate recent.Rate
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	require.Zero(t, rate.At(now, span))
	for range 1000 {
		now = now.Add(50 * time.Millisecond)
		rate.Add(now, span, 1)
	}
	require.InDelta(t, 20, rate.At(now, span), 0.5)
	require.Equal(t, now, rate.Last())
	require.Less(t, rate.At(now.Add(5*span), span), 0.2)
}
