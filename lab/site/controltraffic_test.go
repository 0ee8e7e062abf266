package site_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/lab/fakenet"
	"github.com/tuliphall/tuliphall/lab/site"
)

// TestIdleControlTrafficIsBounded checks that, two minutes after a simultaneous start, the daemons of an idle fleet
// exchange only heartbeats: each sends less than 500 bytes per second. At most 12 watches may be open at a time.
func TestIdleControlTrafficIsBounded(t *testing.T) {
	const daemons = 40
	options := smallSite()
	options.Daemons = daemons
	runVirtual(t, options, func(_ context.Context, net *fakenet.Net, running *site.Site) {
		sent := func() (total int64) {
			for number := range daemons {
				total += net.Host(site.DaemonName(number)).BytesSent()
			}
			return total
		}
		var rates []int64
		for range 6 {
			before := sent()
			time.Sleep(20 * time.Second)
			rates = append(rates, (sent()-before)/20/daemons)
		}
		require.LessOrEqual(t, running.Platform.PeakWatches(), 12, "watches right after the start")
		t.Log("bytes per second sent by each daemon, in intervals of 20 s:", rates)
		require.Less(t, rates[len(rates)-1], int64(500))
	})
}
