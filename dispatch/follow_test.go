package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/routing"
)

// followedReading is a reading that may be sent again.
func followedReading(ago time.Duration) Request {
	request := reading(ago)
	request.Routing.Repeatable = true
	return request
}

// offered returns the place that a request gets.
func offered(t *testing.T, core *Core, now time.Time, request Request) *Permit {
	t.Helper()
	decision := core.Offer(now, request, nil)
	require.NotNil(t, decision.Place)
	return decision.Place
}

// calm lets a back end tell often that it is undisturbed.
func calm(core *Core, id string) {
	for range 100 {
		core.RecordLoadProbe(epoch, id, routing.Report{Slowdown: 1})
	}
}

// TestDisturbanceIsToldSoon asks a back end how it is as soon as a request has reached it,
// and names the requests that met a disturbance, once each.
func TestDisturbanceIsToldSoon(t *testing.T) {
	core := learned(1)
	calm(core, "a")
	place := offered(t, core, epoch, followedReading(0))
	require.True(t, place.Followed)
	_, wanted := core.Group.LoadProbeTarget(epoch.Add(time.Millisecond), time.Second, 0)
	require.False(t, wanted, "the request is still on its way")
	reached := epoch.Add(5 * time.Millisecond)
	id, wanted := core.Group.LoadProbeTarget(reached, time.Second, 0)
	require.True(t, wanted)
	require.Equal(t, "a", id)
	require.Equal(t, []*Permit{place}, core.RecordLoadProbe(reached, id, routing.Report{Slowdown: 5}))
	require.Empty(t, core.RecordLoadProbe(reached, id, routing.Report{Slowdown: 5}), "it is told once")
}

// TestOnlyFreshDisturbancesCount says nothing of requests whose back end is well, that ended,
// or that began long before.
func TestOnlyFreshDisturbancesCount(t *testing.T) {
	core := learned(1)
	calm(core, "a")
	offered(t, core, epoch, followedReading(0))
	require.Empty(t, core.RecordLoadProbe(epoch.Add(5*time.Millisecond), "a", routing.Report{Slowdown: 1.1}), "it is well")
	require.Empty(t, core.RecordLoadProbe(epoch.Add(metWithin+time.Millisecond), "a", routing.Report{Slowdown: 5}), "it may have turned so later")

	core = learned(1)
	calm(core, "a")
	place := offered(t, core, epoch, followedReading(0))
	core.Done(epoch.Add(time.Millisecond), place, routing.Success, time.Millisecond)
	require.Empty(t, core.RecordLoadProbe(epoch.Add(5*time.Millisecond), "a", routing.Report{Slowdown: 5}), "it has ended")
}

// TestNobodyAsksWhoTellsNothing asks no back end what a request met where none ever told it.
func TestNobodyAsksWhoTellsNothing(t *testing.T) {
	core := learned(1)
	core.RecordLoadProbe(epoch, "a", routing.Report{InFlight: 1})
	offered(t, core, epoch, followedReading(0))
	_, wanted := core.Group.LoadProbeTarget(epoch.Add(5*time.Millisecond), time.Second, 0)
	require.False(t, wanted)
}

// TestFollowedWhereItHelps follows only requests that may get a second attempt in time.
func TestFollowedWhereItHelps(t *testing.T) {
	core := learned(4)
	require.False(t, offered(t, core, epoch, reading(0)).Followed, "it may run once only")
	again := followedReading(0)
	again.Routing.Tried = []string{"b"}
	require.False(t, offered(t, core, epoch, again).Followed, "it is a second attempt")
	require.False(t, offered(t, core, epoch, followedReading(300*time.Millisecond)).Followed, "a second attempt would be late")
	unknown := followedReading(0)
	unknown.Class = "other"
	require.False(t, offered(t, core, epoch, unknown).Followed, "nothing is known of its work")
}
