package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tuliphall/tuliphall/routing"
)

// repeatableRead returns a read request that may be sent again.
func repeatableRead(age time.Duration) Request {
	request := readRequest(age)
	request.Routing.Repeatable = true
	return request
}

// mustOffer returns the permit that a request gets at once.
func mustOffer(t *testing.T, core *Core, now time.Time, request Request) *Permit {
	t.Helper()
	decision := core.Offer(now, request, nil)
	require.NotNil(t, decision.Permit)
	return decision.Permit
}

// reportUndisturbed records many load reports of a back end that is not disturbed.
func reportUndisturbed(core *Core, id string) {
	for range 100 {
		core.RecordLoadProbe(epoch, id, routing.Report{Slowdown: 1})
	}
}

// TestDisturbanceIsToldSoon checks that a back end is probed as soon as a request
// has reached it, and that each request that met a disturbance is reported once.
func TestDisturbanceIsToldSoon(t *testing.T) {
	core := newTrainedCore(1)
	reportUndisturbed(core, "a")
	permit := mustOffer(t, core, epoch, repeatableRead(0))
	require.True(t, permit.Followed)
	_, wanted := core.Group.LoadProbeTarget(epoch.Add(time.Millisecond), time.Second, 0)
	require.False(t, wanted, "the request has not arrived yet")
	reached := epoch.Add(5 * time.Millisecond)
	id, wanted := core.Group.LoadProbeTarget(reached, time.Second, 0)
	require.True(t, wanted)
	require.Equal(t, "a", id)
	require.Equal(t, []*Permit{permit}, core.RecordLoadProbe(reached, id, routing.Report{Slowdown: 5}))
	require.Empty(t, core.RecordLoadProbe(reached, id, routing.Report{Slowdown: 5}), "a disturbance is reported once")
}

// TestOnlyFreshDisturbancesCount checks that requests are not reported whose back end is not
// disturbed, that have ended, or that began long before the report.
func TestOnlyFreshDisturbancesCount(t *testing.T) {
	core := newTrainedCore(1)
	reportUndisturbed(core, "a")
	mustOffer(t, core, epoch, repeatableRead(0))
	require.Empty(t, core.RecordLoadProbe(epoch.Add(5*time.Millisecond), "a", routing.Report{Slowdown: 1.1}), "the back end is not disturbed")
	require.Empty(t, core.RecordLoadProbe(epoch.Add(disturbanceWindow+time.Millisecond), "a", routing.Report{Slowdown: 5}), "the disturbance may have begun later")

	core = newTrainedCore(1)
	reportUndisturbed(core, "a")
	permit := mustOffer(t, core, epoch, repeatableRead(0))
	core.Done(epoch.Add(time.Millisecond), permit, routing.Success, time.Millisecond)
	require.Empty(t, core.RecordLoadProbe(epoch.Add(5*time.Millisecond), "a", routing.Report{Slowdown: 5}), "the request has ended")
}

// TestNoArrivalProbeWithoutSlowdownReports checks that back ends which never reported a slowdown
// are not probed when a request arrives.
func TestNoArrivalProbeWithoutSlowdownReports(t *testing.T) {
	core := newTrainedCore(1)
	core.RecordLoadProbe(epoch, "a", routing.Report{InFlight: 1})
	mustOffer(t, core, epoch, repeatableRead(0))
	_, wanted := core.Group.LoadProbeTarget(epoch.Add(5*time.Millisecond), time.Second, 0)
	require.False(t, wanted)
}

// TestFollowedWhereItHelps checks that only requests are followed for which a hedge
// could be in time.
func TestFollowedWhereItHelps(t *testing.T) {
	core := newTrainedCore(4)
	require.False(t, mustOffer(t, core, epoch, readRequest(0)).Followed, "the request is not repeatable")
	retried := repeatableRead(0)
	retried.Routing.Tried = []string{"b"}
	require.False(t, mustOffer(t, core, epoch, retried).Followed, "the request is a second attempt")
	require.False(t, mustOffer(t, core, epoch, repeatableRead(300*time.Millisecond)).Followed, "a hedge would be late")
	unknown := repeatableRead(0)
	unknown.Class = "other"
	require.False(t, mustOffer(t, core, epoch, unknown).Followed, "the latencies of its class are unknown")
}
