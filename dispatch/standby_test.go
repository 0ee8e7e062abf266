package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/dispatch"
	"github.com/tuliphall/tuliphall/routing"
)

// TestStatusOnStandbyShowsBackends guards against an empty status on standby: a daemon that granted
// no permits for a service showed operators no back ends, although they were declared and one was
// leaving.
func TestStatusOnStandbyShowsBackends(t *testing.T) {
	d := dispatch.New(rand.New(rand.NewPCG(1, 1)), 10)
	evacuated := routing.Backend{ID: "b1", Zone: "west", Slots: 1, Window: 1, Warm: true, Drained: true, Evacuated: true}
	leaving := false
	d.Configure(func(time.Time) []routing.Backend {
		return []routing.Backend{{ID: "b0", Slots: 1, Window: 1, Warm: true}, evacuated, {ID: "b2", Slots: 1, Window: 1, Warm: true, Drained: leaving}}
	}, 10)
	leaving = true
	d.SetDraining("b2", func() bool { return leaving })
	for range 2 { // a call of Status must not change the state
		states, waiting := d.Status()
		require.Zero(t, waiting)
		require.Len(t, states, 3)
		require.False(t, states[0].Draining)
		require.True(t, states[1].Draining)
		require.True(t, states[1].Evacuated)
		require.True(t, states[2].Draining)
	}
}
